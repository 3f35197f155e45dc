package ploverdale.tools.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import ploverdale.membership.Packet;
import ploverdale.membership.PacketCodec;
import ploverdale.membership.PacketQueue;
import ploverdale.replication.QuorumResult;
import ploverdale.replication.QuorumResult.Status;
import ploverdale.replication.Replicas;
import ploverdale.replication.ReplicationSettings;

/**
 * A world small enough to try all that can happen in it: three gateways that keep the fate of one write, submitted at one and
 * once more at another, with each message delivered at any time or lost, and one gateway started anew at any time. The classes
 * are those of a gateway. Each state is reached from the beginning, choice by choice, and gone on from once.
 */
public final class BoundedClaimModel {
    /** What came of it: courses played, states told apart, and the choices of the first course that grants a write twice. */
    public record Result(long transitions, int states, String firstViolation) {}

    private static final int GATEWAYS = 3;
    private static final long SECOND = 10_000;
    private static final long ZERO = 17_000_000_000_000L;
    private static final long WINDOW = 5 * SECOND;
    private static final long KEY = Replicas.key(false, "w");
    private static final ReplicationSettings KEEPING =
            new ReplicationSettings(GATEWAYS, false, SECOND, SECOND / 10, WINDOW, true, Set.of(), 1, 100, 100);

    private record Message(int from, long start, int to, byte[] bytes) {}

    /** One course. */
    private static final class State {
        private final Replicas[] gateways = new Replicas[GATEWAYS];
        private final PacketQueue[] packing = new PacketQueue[GATEWAYS];
        private final long[] start = new long[GATEWAYS];
        private final List<Message> onTheWay = new ArrayList<>();
        private final long startsAsIf;
        private long wall = ZERO;
        private int submits;
        private int lost;
        private int restarts;
        private int granted;

        /** @param startsAsIf by which a start is taken to be longer ago than it is; more than none is a mistake that must be found */
        private State(long startsAsIf) {
            this.startsAsIf = startsAsIf;
            for (int i = 0; i < GATEWAYS; i++) {
                starts(i, 0);
            }
            wall += 2 * WINDOW; // all vouch for what they know
        }

        private void starts(int i, long ago) {
            long now = wall;
            wall -= ago;
            gateways[i] = new Replicas(i, GATEWAYS, ++start[i], KEEPING, new SplittableRandom(i), () -> wall);
            packing[i] = new PacketQueue(1e9, 0);
            wall = now;
        }

        /** What can happen next; the first ones are the messages on the way. */
        private List<String> choices() {
            List<String> all = new ArrayList<>();
            for (int m = 0; m < onTheWay.size(); m++) {
                all.add("deliver " + m);
            }
            if (submits < 2) {
                all.add("submit");
            }
            for (int m = 0; lost < 1 && m < onTheWay.size(); m++) {
                all.add("lose " + m);
            }
            for (int i = 0; restarts < 1 && submits > 0 && i < GATEWAYS; i++) {
                all.add("restart " + i);
            }
            return all;
        }

        private void happens(String choice) {
            int n = choice.endsWith("submit") ? 0 : Integer.parseInt(choice.substring(choice.indexOf(' ') + 1));
            if (choice.startsWith("deliver")) {
                Message m = onTheWay.remove(n);
                for (Packet.Part p : PacketCodec.decode(m.bytes).parts()) {
                    gateways[m.to].onMessage(0, m.from, m.start, p, packing[m.to]);
                }
                sends(m.to);
            } else if (choice.startsWith("lose")) {
                lost++;
                onTheWay.remove(n);
            } else if (choice.startsWith("restart")) {
                restarts++;
                starts(n, startsAsIf);
            } else {
                wall++;
                gateways[submits].claimWrite(0, KEY, submits == 0, wall, packing[submits]);
                sends(submits++);
            }
            for (Replicas g : gateways) {
                for (QuorumResult d : g.takeResults()) {
                    granted += d.status() == Status.GRANTED ? 1 : 0;
                }
            }
        }

        private void sends(int i) {
            for (PacketQueue.OutboundPacket l : packing[i].drain(0, start[i], 1)) {
                onTheWay.add(new Message(i, start[i], l.to(), l.bytes()));
            }
            onTheWay.sort(Comparator.comparingInt((Message m) -> m.from * GATEWAYS + m.to)
                    .thenComparing(Message::bytes, Arrays::compare));
        }

        private String state() {
            StringBuilder b = new StringBuilder()
                    .append(submits)
                    .append(lost)
                    .append(restarts)
                    .append(granted);
            for (int i = 0; i < GATEWAYS; i++) {
                b.append(" | ").append(start[i]).append(' ').append(gateways[i].describeState(KEY));
            }
            onTheWay.forEach(
                    m -> b.append(' ').append(m.from).append('>').append(m.to).append(Arrays.hashCode(m.bytes)));
            return b.toString();
        }
    }

    private BoundedClaimModel() {}

    /** Plays all that can happen, state by state; a state that was seen before is not gone on from once more. */
    public static Result explore(long startsAsIf) {
        Set<String> seen = new HashSet<>();
        Deque<List<String>> paths = new ArrayDeque<>(List.of(List.of()));
        long transitions = 0;
        while (!paths.isEmpty()) {
            List<String> path = paths.poll();
            for (String choice : played(startsAsIf, path).choices()) {
                transitions++;
                State w = played(startsAsIf, path);
                w.happens(choice);
                List<String> longer = new ArrayList<>(path);
                longer.add(choice);
                if (w.granted > 1) {
                    return new Result(transitions, seen.size(), String.join(", ", longer));
                }
                if (seen.add(w.state())) {
                    paths.add(longer);
                }
            }
        }
        return new Result(transitions, seen.size(), null);
    }

    private static State played(long startsAsIf, List<String> path) {
        State w = new State(startsAsIf);
        path.forEach(w::happens);
        return w;
    }
}
