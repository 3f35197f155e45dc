package ploverdale.tools.rig;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The scenarios by name. */
public final class Rigs {
    /** One scenario. */
    public record Rig(String shows, Player player) {
        /** Plays so many seeds from the first, so many runs at a time; waits for the end. */
        public List<Check> play(long seed, int seeds, int atATime) throws InterruptedException {
            return player.play(seed, seeds, atATime);
        }
    }

    /** How it is played. */
    public interface Player {
        List<Check> play(long seed, int seeds, int atATime) throws InterruptedException;
    }

    /** All there are. */
    public static final Map<String, Rig> ALL = new TreeMap<>(Map.of(
            "budgets",
            new Rig("sends at servers as a budget of the fleet, through days of faults", BudgetsRig::play),
            "pauses",
            new Rig("gateways that are paused while clients crowd them", Pauses::play),
            "faults",
            new Rig("gateways as processes, through days of kills, stops, restarts and cut ways", Faults::play),
            "replicas",
            new Rig("sessions that roam and writes submitted again, through days of faults", ReplicasRig::play),
            "soak",
            new Rig("gateways as processes, through days of drains, restarts and agents that lie behind", Soak::play),
            "tier",
            new Rig("what hundreds of instances tell one another, in simulated time", Tier::play),
            "warm-start",
            new Rig("a new instance joins while its group has no primary", WarmStart::play)));

    private Rigs() {}
}
