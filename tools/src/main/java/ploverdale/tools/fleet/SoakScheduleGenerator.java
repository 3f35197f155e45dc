package ploverdale.tools.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import ploverdale.tools.fleet.FaultSchedule.Step;
import ploverdale.tools.fleet.FaultSchedule.What;

/**
 * Draws days on which what gateways know of their servers changes under every other fault: servers drain, are removed and return
 * while gateways are killed, restarted with an old list, paused and moved to other agents, and agents are slow, behind or silent.
 */
public final class SoakScheduleGenerator {
    private static final long LASTS_MS = 10_000;
    private static final long FIRST_MS = 600;
    private static final long LAST_STEP_MS = 8500;
    private static final int LEAST_GATEWAYS = 2;
    private static final int MOST_GATEWAYS = 4;
    private static final long KILL_AFTER_TERM_MS = 2200; // the longest deadline, 1.5 s, plus 0.7 s
    private static final long LONGEST_PAUSE_MS = 150;
    private static final long START_LASTS_MS = 5000;
    private static final String[] AGENTS = {"a", "b"};

    private final RandomGenerator random;
    private final List<Step> steps = new ArrayList<>();
    private long firstDrainMs;

    private SoakScheduleGenerator(long seed) {
        random = new SplittableRandom(seed);
    }

    /** The day of that seed. */
    public static FaultSchedule day(long seed, List<String> servers) {
        SoakScheduleGenerator generator = new SoakScheduleGenerator(seed);
        int gateways = generator.between(LEAST_GATEWAYS, MOST_GATEWAYS);
        generator.drawServers(servers);
        for (int i = 0; i < gateways; i++) {
            generator.drawProcess("n" + i);
            generator.drawAgents("n" + i);
            generator.drawMoveToOutdatedAgent("n" + i);
            generator.drawNetwork("n" + i, "n" + (i + 1) % gateways, servers);
        }
        return new FaultSchedule(seed, gateways, LASTS_MS, generator.steps);
    }

    private int between(int least, int most) {
        return random.nextInt(least, most + 1);
    }

    private boolean chance(double share) {
        return random.nextDouble() < share;
    }

    private void add(long atMs, What what, Object... words) {
        steps.add(Step.of(atMs, what, words));
    }

    /** Two of the servers drain, at one time or one after the other; the third stays. */
    private void drawServers(List<String> servers) {
        List<String> victims = new ArrayList<>(servers);
        Collections.shuffle(victims, new Random(random.nextLong()));
        firstDrainMs = between(800, 3500);
        drain(victims.get(0), firstDrainMs);
        if (chance(0.6)) {
            drain(victims.get(1), between(1500, 6000));
        }
    }

    private void drain(String server, long atMs) {
        add(atMs, What.SERVER, server, "drains");
        if (chance(0.5)) {
            return;
        }
        long removedMs = atMs + (chance(0.3) ? between(5, 100) : between(2000, 5000));
        add(removedMs, What.SERVER, server, "removes");
        if (chance(0.7)) {
            add(removedMs + between(500, 1500), What.SERVER, server, "returns");
        }
    }

    private void drawProcess(String gateway) {
        long atMs = FIRST_MS + between(0, 2500);
        while (atMs < LAST_STEP_MS - KILL_AFTER_TERM_MS) {
            atMs += drawProcessFault(gateway, atMs);
        }
    }

    /** Draws one fault; returns after how long the next may follow. */
    private long drawProcessFault(String gateway, long atMs) {
        switch (between(0, 5)) {
            case 0 -> {
                add(atMs, What.KILL, gateway);
                start(gateway, atMs + between(50, 1500));
                return 4500;
            }
            case 1 -> {
                restart(gateway, atMs);
                return 6000;
            }
            case 2 -> {
                add(atMs, What.HANG_UP, gateway, AGENTS[between(0, 1)]);
                add(atMs + between(20, 300), What.HANG_UP, gateway, AGENTS[between(0, 1)]);
                return 1500;
            }
            case 3 -> {
                add(atMs, What.STOP, gateway);
                add(atMs + between(50, (int) LONGEST_PAUSE_MS), What.GO_ON, gateway);
                return 600;
            }
            case 4 -> {
                add(atMs, What.HANG_UP, gateway, AGENTS[between(0, 1)]);
                restart(gateway, atMs + between(5, 100));
                return 6000;
            }
            default -> {
                add(atMs, What.KILL, gateway);
                add(atMs + 50, What.START, gateway);
                add(atMs + 50 + between(100, 1200), What.LEAVE, gateway); // mostly before it is ready
                add(atMs + 50 + KILL_AFTER_TERM_MS, What.START, gateway);
                return 6500;
            }
        }
    }

    private void restart(String gateway, long atMs) {
        add(atMs, What.LEAVE, gateway);
        add(atMs + KILL_AFTER_TERM_MS, What.KILL, gateway);
        start(gateway, atMs + KILL_AFTER_TERM_MS + between(20, 200));
    }

    /** Half of all starts find their agent slow. */
    private void start(String gateway, long atMs) {
        add(atMs, What.START, gateway);
        if (chance(0.5)) {
            add(atMs, What.AGENT, gateway, AGENTS[0], "delay:" + between(20, 1500));
            add(atMs + START_LASTS_MS, What.AGENT, gateway, AGENTS[0], "delay:0");
        }
    }

    private void drawAgents(String gateway) {
        for (String agent : AGENTS) {
            long atMs = between(0, 3000);
            while (atMs < LAST_STEP_MS) {
                atMs += drawAgentFault(gateway, agent, atMs) + between(200, 2500);
            }
        }
    }

    /** Draws one fault; returns how long it lasts. */
    private long drawAgentFault(String gateway, String agent, long atMs) {
        String[] kinds = {"BEHIND", "SILENT", "delay:", "trickle:"};
        String kind = kinds[between(0, 3)];
        long lastsMs = between(500, kind.equals("BEHIND") ? 6000 : 3000);
        String begins = kind.equals("delay:")
                ? kind + between(20, 1500)
                : kind.equals("trickle:") ? kind + between(20, 150) : kind;
        String ends = kind.endsWith(":") ? kind + "0" : "PROMPT";
        add(atMs, What.AGENT, gateway, agent, begins);
        add(atMs + lastsMs, What.AGENT, gateway, agent, ends);
        return lastsMs;
    }

    /** The gateway hears of the first drain, and is then moved to an agent that has not. */
    private void drawMoveToOutdatedAgent(String gateway) {
        if (!chance(0.4)) {
            return;
        }
        add(Math.max(1, firstDrainMs - between(0, 300)), What.AGENT, gateway, AGENTS[1], "BEHIND");
        add(firstDrainMs + between(900, 1600), What.HANG_UP, gateway, AGENTS[1]);
        add(firstDrainMs + between(3500, 5000), What.AGENT, gateway, AGENTS[1], "PROMPT");
    }

    private void drawNetwork(String gateway, String peer, List<String> servers) {
        String server = servers.get(between(0, servers.size() - 1));
        if (chance(0.5)) {
            add(between(500, 8000), What.WAY, gateway, server, "reset");
        }
        if (chance(0.3)) {
            long atMs = between(500, 6000);
            add(atMs, What.WAY, gateway, server, "delay:" + between(5, 60));
            add(atMs + between(300, 2000), What.WAY, gateway, server, "OPEN");
        }
        if (chance(0.5) && !gateway.equals(peer)) {
            long atMs = between(500, 6000);
            add(atMs, What.WORDS, gateway, peer, chance(0.5) ? "loss:1" : "delay:" + between(20, 400));
            add(atMs + between(300, 2000), What.WORDS, gateway, peer, "usual");
        }
    }
}
