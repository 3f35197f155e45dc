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
 * A bounded model of write claims that is small enough for exhaustive exploration: three gateways replicate the
 * outcome of one write, which is submitted at one gateway and again at another. Each message may be delivered at
 * any time; one message may be lost, and one gateway may restart at any time. The model runs the gateway's own
 * classes. A state is reached by replaying its choices from the beginning, and each distinct state is expanded
 * once. Times are in tenths of a millisecond.
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
    private static final long START_TIME = 17_000_000_000_000L;
    private static final long RESUBMISSION_WINDOW = 5 * SECOND;
    private static final long KEY = Replicas.key(false, "w");
    private static final ReplicationSettings SETTINGS = new ReplicationSettings(
            GATEWAYS, false, SECOND, SECOND / 10, RESUBMISSION_WINDOW, true, Set.of(), 1, 100, 100);

    private record Message(int from, long incarnation, int to, byte[] bytes) {}

    /** One execution of the model. */
    private static final class Execution {
        private final Replicas[] gateways = new Replicas[GATEWAYS];
        private final PacketQueue[] outboxes = new PacketQueue[GATEWAYS];
        private final long[] incarnations = new long[GATEWAYS];
        private final List<Message> inFlight = new ArrayList<>();
        private final long restartBackdating;
        private long wallTime = START_TIME;
        private int submissions;
        private int losses;
        private int restarts;
        private int grants;

        /**
         * @param restartBackdating how far the start time of a restarted gateway is set back; any value but 0 is a
         *     deliberate defect that exploration must find
         */
        private Execution(long restartBackdating) {
            this.restartBackdating = restartBackdating;
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                startGateway(gateway, 0);
            }
            // From now on each gateway's history covers the whole resubmission window.
            wallTime += 2 * RESUBMISSION_WINDOW;
        }

        private void startGateway(int gateway, long backdatedBy) {
            long actualTime = wallTime;
            wallTime -= backdatedBy;
            gateways[gateway] = new Replicas(
                    gateway,
                    GATEWAYS,
                    ++incarnations[gateway],
                    SETTINGS,
                    new SplittableRandom(gateway),
                    () -> wallTime);
            outboxes[gateway] = new PacketQueue(1e9, 0);
            wallTime = actualTime;
        }

        /** Returns the choices that are possible next, deliveries of messages in flight first. */
        private List<String> choices() {
            List<String> choices = new ArrayList<>();
            for (int index = 0; index < inFlight.size(); index++) {
                choices.add("deliver " + index);
            }
            if (submissions < 2) {
                choices.add("submit");
            }
            for (int index = 0; losses < 1 && index < inFlight.size(); index++) {
                choices.add("lose " + index);
            }
            for (int gateway = 0; restarts < 1 && submissions > 0 && gateway < GATEWAYS; gateway++) {
                choices.add("restart " + gateway);
            }
            return choices;
        }

        private void apply(String choice) {
            int argument = choice.endsWith("submit") ? 0 : Integer.parseInt(choice.substring(choice.indexOf(' ') + 1));
            if (choice.startsWith("deliver")) {
                Message message = inFlight.remove(argument);
                for (Packet.Part p : PacketCodec.decode(message.bytes).parts()) {
                    gateways[message.to].onMessage(0, message.from, message.incarnation, p, outboxes[message.to]);
                }
                sendQueued(message.to);
            } else if (choice.startsWith("lose")) {
                losses++;
                inFlight.remove(argument);
            } else if (choice.startsWith("restart")) {
                restarts++;
                startGateway(argument, restartBackdating);
            } else {
                wallTime++;
                gateways[submissions].claimWrite(0, KEY, submissions == 0, wallTime, outboxes[submissions]);
                sendQueued(submissions++);
            }
            for (Replicas replicas : gateways) {
                for (QuorumResult result : replicas.takeResults()) {
                    grants += result.status() == Status.GRANTED ? 1 : 0;
                }
            }
        }

        private void sendQueued(int gateway) {
            for (PacketQueue.OutboundPacket p : outboxes[gateway].drain(0, incarnations[gateway], 1)) {
                inFlight.add(new Message(gateway, incarnations[gateway], p.to(), p.bytes()));
            }
            inFlight.sort(Comparator.comparingInt((Message message) -> message.from * GATEWAYS + message.to)
                    .thenComparing(Message::bytes, Arrays::compare));
        }

        /** Returns a text that is equal for equal states. */
        private String fingerprint() {
            StringBuilder text = new StringBuilder()
                    .append(submissions)
                    .append(losses)
                    .append(restarts)
                    .append(grants);
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                text.append(" | ")
                        .append(incarnations[gateway])
                        .append(' ')
                        .append(gateways[gateway].describeState(KEY));
            }
            inFlight.forEach(message -> text.append(' ')
                    .append(message.from)
                    .append('>')
                    .append(message.to)
                    .append(Arrays.hashCode(message.bytes)));
            return text.toString();
        }
    }

    private BoundedClaimModel() {}

    /**
     * Explores all reachable states breadth first, until the write is granted twice.
     *
     * @param restartBackdating how far the start time of a restarted gateway is set back; any value but 0 is a
     *     deliberate defect
     */
    public static Result explore(long restartBackdating) {
        Set<String> visited = new HashSet<>();
        Deque<List<String>> paths = new ArrayDeque<>(List.of(List.of()));
        long transitions = 0;
        while (!paths.isEmpty()) {
            List<String> path = paths.poll();
            for (String choice : replay(restartBackdating, path).choices()) {
                transitions++;
                Execution execution = replay(restartBackdating, path);
                execution.apply(choice);
                List<String> extended = new ArrayList<>(path);
                extended.add(choice);
                if (execution.grants > 1) {
                    return new Result(transitions, visited.size(), String.join(", ", extended));
                }
                if (visited.add(execution.fingerprint())) {
                    paths.add(extended);
                }
            }
        }
        return new Result(transitions, visited.size(), null);
    }

    private static Execution replay(long restartBackdating, List<String> path) {
        Execution execution = new Execution(restartBackdating);
        path.forEach(execution::apply);
        return execution;
    }
}
