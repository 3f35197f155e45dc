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
 * A bounded model of write claims that is small enough for exhaustive exploration: three gateways replicate the outcome of
 * one write, which is submitted at one gateway and again at another. Each message may be delivered at any time; one message
 * may be lost, and one gateway may restart at any time. The model runs the gateway's own classes. A state is reached by
 * replaying its choices from the beginning, and each distinct state is expanded once. Times are in tenths of a millisecond.
 */
public final class BoundedClaimModel {
    /**
     * The result of an exploration.
     *
     * @param transitions number of transitions that were run
     * @param states number of distinct states that were reached
     * @param firstViolation the choices of the first execution that grants the write twice; null if none does
     */
    public record Result(long transitions, int states, String firstViolation) {}

    private static final int GATEWAYS = 3;
    private static final long SECOND = 10_000;
    private static final long ZERO = 17_000_000_000_000L;
    private static final long WINDOW = 5 * SECOND;
    private static final long KEY = Replicas.key(false, "w");
    private static final ReplicationSettings KEEPING =
            new ReplicationSettings(GATEWAYS, false, SECOND, SECOND / 10, WINDOW, true, Set.of(), 1, 100, 100);

    private record Message(int from, long start, int to, byte[] bytes) {}

    /** One execution of the model. */
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

        /**
         * @param startsAsIf how far the start time of a restarted gateway is set back; any value but 0 is a deliberate
         *     defect that exploration must find
         */
        private State(long startsAsIf) {
            this.startsAsIf = startsAsIf;
            for (int i = 0; i < GATEWAYS; i++) {
                starts(i, 0);
            }
            wall += 2 * WINDOW; // from now on each gateway's history covers the whole resubmission window
        }

        private void starts(int i, long ago) {
            long now = wall;
            wall -= ago;
            gateways[i] = new Replicas(i, GATEWAYS, ++start[i], KEEPING, new SplittableRandom(i), () -> wall);
            packing[i] = new PacketQueue(1e9, 0);
            wall = now;
        }

        /** Returns the choices that are possible next, deliveries of messages in flight first. */
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

        /** Returns a text that is equal for equal states. */
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

    /**
     * Explores all reachable states breadth first, until the write is granted twice.
     *
     * @param startsAsIf how far the start time of a restarted gateway is set back; any value but 0 is a deliberate defect
     */
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
