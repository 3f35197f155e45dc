package ploverdale.tools.rig;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The registry of the scenarios. */
public final class Rigs {
    /**
     * One scenario.
     *
     * @param description what it exercises, for the list of scenarios
     * @param player runs it
     */
    public record Rig(String description, Player player) {
        /** Runs the given number of seeds, at most {@code atATime} of them concurrently, and waits for the end. */
        public List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException {
            return player.play(firstSeed, seeds, atATime);
        }
    }

    /** Runs a scenario for a range of seeds. */
    public interface Player {
        List<Check> play(long firstSeed, int seeds, int atATime) throws InterruptedException;
    }

    /** The scenarios by name. */
    public static final Map<String, Rig> ALL = new TreeMap<>(Map.of(
            "budgets",
            new Rig("shared limits on the attempts in flight at servers, under random faults", BudgetsRig::play),
            "pauses",
            new Rig("gateway processes that are paused while clients hold many connections", Pauses::play),
            "faults",
            new Rig("gateway processes under random kills, pauses, restarts and broken links", Faults::play),
            "floods",
            new Rig("gateway processes under clients that send invalid or small messages at full speed", Floods::play),
            "replicas",
            new Rig("sessions that change gateways and resubmitted writes, under random faults", ReplicasRig::play),
            "soak",
            new Rig("gateway processes under random drains, restarts and outdated discovery agents", Soak::play),
            "tier",
            new Rig("gossip among hundreds of gateways, in simulated time", Tier::play),
            "warm-start",
            new Rig("a new gateway joins while its replica group has no primary", WarmStart::play)));

    private Rigs() {}
}
