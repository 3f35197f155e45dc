package ploverdale.tools.fleet;

import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import ploverdale.tools.fleet.FaultSchedule.Action;
import ploverdale.tools.stand.FloodForm;

/**
 * Generates random schedules in which clients flood the gateways with messages of every form, one form after the other
 * and several at a time, while servers are silent or drain and the gateways are signalled.
 */
public final class FloodScheduleGenerator extends RandomSchedule {
    private static final long LASTS_MS = 10_000;
    private static final int MAX_FLOOD_MS = 2500;
    private static final int MAX_CLIENTS = 8;
    private static final int MANY_CLIENTS = 60;
    private static final long UNLIMITED_BYTES = Long.MAX_VALUE;

    private static final double READ_PROBABILITY = 0.7;
    private static final double STORM_PROBABILITY = 0.3;
    private static final int MIN_STORM_BYTES = 20_000;
    private static final int MAX_STORM_BYTES = 400_000;

    private final RandomGenerator stormRandom; // of its own, so that a seed's other steps stay the same

    private FloodScheduleGenerator(long seed) {
        super(seed);
        stormRandom = new SplittableRandom(~seed);
    }

    /** Returns the schedule of the given seed. */
    public static FaultSchedule generate(long seed, List<String> servers) {
        FloodScheduleGenerator generator = new FloodScheduleGenerator(seed);
        int gateways = generator.between(1, 2);
        for (int i = 0; i < gateways; i++) {
            generator.addFloods("n" + i);
            generator.addSignals("n" + i);
        }
        generator.addServerFaults(servers);
        return new FaultSchedule(seed, gateways, LASTS_MS, generator.steps());
    }

    private void addFloods(String gateway) {
        long atMs = between(300, 1000);
        while (atMs < LASTS_MS - MAX_FLOOD_MS) {
            int durationMs = between(800, MAX_FLOOD_MS);
            addFlood(gateway, atMs, durationMs);
            if (withProbability(0.4)) {
                addFlood(gateway, atMs + between(0, durationMs / 2), durationMs);
            }
            if (stormRandom.nextDouble() < STORM_PROBABILITY) {
                addConnectionStorm(gateway, atMs, durationMs);
            }
            atMs += durationMs + between(100, 800);
        }
    }

    private void addFlood(String gateway, long atMs, int durationMs) {
        FloodForm[] forms = FloodForm.values();
        FloodForm form = forms[between(0, forms.length - 1)];
        int clients = withProbability(0.1) ? MANY_CLIENTS : between(1, MAX_CLIENTS);
        String answers = withProbability(READ_PROBABILITY) ? "read" : "unread";
        long bytes = withProbability(0.5) ? UNLIMITED_BYTES : between(10_000, 4_000_000);
        add(atMs, Action.FLOOD, gateway, form, clients, durationMs, answers, bytes);
    }

    /** Clients that send more than is run at once, leave, and connect again at once. */
    private void addConnectionStorm(String gateway, long atMs, int durationMs) {
        FloodForm[] forms = FloodForm.values();
        FloodForm form = forms[stormRandom.nextInt(forms.length)];
        int clients = stormRandom.nextInt(MAX_CLIENTS, 2 * MAX_CLIENTS);
        String answers = stormRandom.nextDouble() < READ_PROBABILITY ? "read" : "unread";
        int bytes = stormRandom.nextInt(MIN_STORM_BYTES, MAX_STORM_BYTES);
        add(atMs, Action.FLOOD, gateway, form, clients, durationMs, answers, bytes);
    }

    /** Restarts the gateway, or sends it new configurations in a row, while it is flooded. */
    private void addSignals(String gateway) {
        if (withProbability(0.3)) {
            long killedMs = terminate(gateway, between(1500, 5000));
            add(killedMs + between(20, 200), Action.START, gateway);
        } else if (withProbability(0.4)) {
            long atMs = between(800, 7000);
            add(atMs, Action.HANG_UP, gateway, "b");
            add(atMs + between(20, 300), Action.HANG_UP, gateway, "a");
        }
    }

    private void addServerFaults(List<String> servers) {
        String server = servers.get(between(1, servers.size() - 1));
        long atMs = between(1000, 6000);
        if (withProbability(0.3)) {
            add(atMs, Action.SERVER, server, "drains");
        } else if (withProbability(0.3)) {
            add(atMs, Action.SERVER, server, "SILENT");
            add(atMs + between(500, 2000), Action.SERVER, server, "heals");
        }
    }
}
