package ploverdale.tools.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import ploverdale.tools.fleet.FaultSchedule.Action;

/**
 * Generates random fault schedules in which the endpoint list changes together with every other fault: servers drain, are
 * removed and return while gateways are killed, restarted with an old list, paused and moved to other discovery agents, and
 * agents are slow, outdated or silent.
 */
public final class SoakScheduleGenerator extends RandomSchedule {
    private static final long LASTS_MS = 10_000;
    private static final long FIRST_PROCESS_FAULT_MS = 600;
    private static final long LAST_STEP_MS = 8500;
    private static final int MIN_GATEWAYS = 2;
    private static final int MAX_GATEWAYS = 4;

    private static final long MAX_PAUSE_MS = 150;

    /** How long an agent stays slow after a start: as long as a start may take. */
    private static final long SLOW_AGENT_MS = 5000;

    /** The names of the two agents of each gateway; a process that is started follows the one named last. */
    private static final String[] AGENTS = {"a", "b"};

    private long firstDrainMs;

    private SoakScheduleGenerator(long seed) {
        super(seed);
    }

    /** Returns the schedule of the given seed. */
    public static FaultSchedule generate(long seed, List<String> servers) {
        SoakScheduleGenerator generator = new SoakScheduleGenerator(seed);
        int gateways = generator.between(MIN_GATEWAYS, MAX_GATEWAYS);
        generator.addDrains(servers);
        for (int i = 0; i < gateways; i++) {
            generator.addProcessFaults("n" + i);
            generator.addAgentFaults("n" + i);
            generator.addMoveToOutdatedAgent("n" + i);
            generator.addNetworkFaults("n" + i, "n" + (i + 1) % gateways, servers);
        }
        return new FaultSchedule(seed, gateways, LASTS_MS, generator.steps());
    }

    /** Drains one or two of the servers; at least one stays in service. */
    private void addDrains(List<String> servers) {
        List<String> shuffled = new ArrayList<>(servers);
        Collections.shuffle(shuffled, new Random(random().nextLong()));
        firstDrainMs = between(800, 3500);
        drain(shuffled.get(0), firstDrainMs);
        if (withProbability(0.6)) {
            drain(shuffled.get(1), between(1500, 6000));
        }
    }

    private void drain(String server, long atMs) {
        add(atMs, Action.SERVER, server, "drains");
        if (withProbability(0.5)) {
            return;
        }
        long removedMs = atMs + (withProbability(0.3) ? between(5, 100) : between(2000, 5000));
        add(removedMs, Action.SERVER, server, "removes");
        if (withProbability(0.7)) {
            add(removedMs + between(500, 1500), Action.SERVER, server, "returns");
        }
    }

    private void addProcessFaults(String gateway) {
        long atMs = FIRST_PROCESS_FAULT_MS + between(0, 2500);
        while (atMs < LAST_STEP_MS - KILL_AFTER_TERM_MS) {
            atMs += addProcessFault(gateway, atMs);
        }
    }

    /** Adds one fault of a process; returns the milliseconds after which the next one may follow. */
    private long addProcessFault(String gateway, long atMs) {
        switch (between(0, 5)) {
            case 0 -> {
                add(atMs, Action.KILL, gateway);
                start(gateway, atMs + between(50, 1500));
                return 4500;
            }
            case 1 -> {
                restart(gateway, atMs);
                return 6000;
            }
            case 2 -> {
                add(atMs, Action.HANG_UP, gateway, AGENTS[between(0, 1)]);
                add(atMs + between(20, 300), Action.HANG_UP, gateway, AGENTS[between(0, 1)]);
                return 1500;
            }
            case 3 -> {
                add(atMs, Action.STOP, gateway);
                add(atMs + between(50, (int) MAX_PAUSE_MS), Action.GO_ON, gateway);
                return 600;
            }
            case 4 -> {
                add(atMs, Action.HANG_UP, gateway, AGENTS[between(0, 1)]);
                restart(gateway, atMs + between(5, 100));
                return 6000;
            }
            default -> {
                add(atMs, Action.KILL, gateway);
                add(atMs + 50, Action.START, gateway);
                add(atMs + 50 + between(100, 1200), Action.LEAVE, gateway); // usually before the gateway serves
                add(atMs + 50 + KILL_AFTER_TERM_MS, Action.START, gateway);
                return 6500;
            }
        }
    }

    private void restart(String gateway, long atMs) {
        long killedMs = terminate(gateway, atMs);
        start(gateway, killedMs + between(20, 200));
    }

    /** Starts a gateway; in half of the cases its first agent is slow meanwhile. */
    private void start(String gateway, long atMs) {
        add(atMs, Action.START, gateway);
        if (withProbability(0.5)) {
            add(atMs, Action.AGENT, gateway, AGENTS[0], "delay:" + between(20, 1500));
            add(atMs + SLOW_AGENT_MS, Action.AGENT, gateway, AGENTS[0], "delay:0");
        }
    }

    private void addAgentFaults(String gateway) {
        for (String agent : AGENTS) {
            long atMs = between(0, 3000);
            while (atMs < LAST_STEP_MS) {
                atMs += addAgentFault(gateway, agent, atMs) + between(200, 2500);
            }
        }
    }

    /** Adds one fault of an agent; returns its duration in milliseconds. */
    private long addAgentFault(String gateway, String agent, long atMs) {
        String[] kinds = {"BEHIND", "SILENT", "delay:", "trickle:"};
        String kind = kinds[between(0, 3)];
        long lastsMs = between(500, kind.equals("BEHIND") ? 6000 : 3000);
        String onset = kind.equals("delay:")
                ? kind + between(20, 1500)
                : kind.equals("trickle:") ? kind + between(20, 150) : kind;
        String recovery = kind.endsWith(":") ? kind + "0" : "PROMPT";
        add(atMs, Action.AGENT, gateway, agent, onset);
        add(atMs + lastsMs, Action.AGENT, gateway, agent, recovery);
        return lastsMs;
    }

    /** Moves the gateway, after it has learned of the first drain, to an agent that does not know of it. */
    private void addMoveToOutdatedAgent(String gateway) {
        if (!withProbability(0.4)) {
            return;
        }
        add(Math.max(1, firstDrainMs - between(0, 300)), Action.AGENT, gateway, AGENTS[1], "BEHIND");
        add(firstDrainMs + between(900, 1600), Action.HANG_UP, gateway, AGENTS[1]);
        add(firstDrainMs + between(3500, 5000), Action.AGENT, gateway, AGENTS[1], "PROMPT");
    }

    private void addNetworkFaults(String gateway, String peer, List<String> servers) {
        String server = servers.get(between(0, servers.size() - 1));
        if (withProbability(0.5)) {
            add(between(500, 8000), Action.WAY, gateway, server, "reset");
        }
        if (withProbability(0.3)) {
            long atMs = between(500, 6000);
            add(atMs, Action.WAY, gateway, server, "delay:" + between(5, 60));
            add(atMs + between(300, 2000), Action.WAY, gateway, server, "OPEN");
        }
        if (withProbability(0.5) && !gateway.equals(peer)) {
            long atMs = between(500, 6000);
            add(atMs, Action.WORDS, gateway, peer, withProbability(0.5) ? "loss:1" : "delay:" + between(20, 400));
            add(atMs + between(300, 2000), Action.WORDS, gateway, peer, "usual");
        }
    }
}
