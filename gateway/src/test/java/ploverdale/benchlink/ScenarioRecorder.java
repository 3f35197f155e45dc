package ploverdale.benchlink;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Records a short scenario: three gateways with six database servers in two groups, of which one replica hangs, another
 * one drains and a primary restarts, and with clients that disconnect. The simulated servers react to what the gateways
 * do, so the recorded input is what a simulator would have sent. {@link RecordedScenarioTest} replays the input alone.
 *
 * <p>If decisions are changed on purpose, run {@link #main} with the file to write, and say so in the commit.
 */
final class ScenarioRecorder {
    private static final int GATEWAYS = 3;
    private static final int GROUPS = 2;
    private static final int SERVERS_PER_GROUP = 3;
    private static final double START_MS = 1_000_000;
    private static final double SCENARIO_MS = 6_000;
    private static final double TICK_MS = 5;
    private static final double MEAN_BETWEEN_REQUESTS_MS = 12;
    private static final double GOSSIP_DELAY_MS = 2;
    private static final double HANG_FROM_MS = START_MS + 1_500;
    private static final double HANG_TO_MS = START_MS + 2_700;
    private static final double DRAIN_AT_MS = START_MS + 3_000;
    private static final double RESTART_AT_MS = START_MS + 3_600;
    private static final long SEED = 20_261_202L;

    /** A scheduled event, in JSON; events of the same time are delivered in the order in which they were scheduled. */
    private record ScheduledEvent(double atMs, long order, String event) {}

    private final SplittableRandom random = new SplittableRandom(SEED);
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            (a, b) -> a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
    private final Map<String, Integer> attemptsByRequest = new LinkedHashMap<>();
    private final LineExchange benchLink = new LineExchange();
    private final List<String> lines = new ArrayList<>();
    private long nextOrder;
    private double now = START_MS;

    private ScenarioRecorder() {}

    /** Writes the input lines, each followed by its reply, to the file that the first argument names. */
    public static void main(String[] args) throws IOException, InterruptedException {
        ScenarioRecorder recorder = new ScenarioRecorder();
        recorder.run();
        Files.write(Path.of(args[0]), recorder.lines, StandardCharsets.UTF_8);
        System.out.println(recorder.lines.size() / 2 + " batches, seed " + SEED);
    }

    private void run() throws IOException, InterruptedException {
        schedule(START_MS, serverList(0, "IN", 0));
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            schedule(START_MS, boot(gateway));
            schedule(START_MS, announce(gateway, 0, "stale_copy"));
            scheduleRequest(gateway, START_MS + 200);
        }
        scheduleListChanges();
        while (now < START_MS + SCENARIO_MS) {
            now += TICK_MS;
            runTick();
        }
        benchLink.close();
    }

    private void scheduleListChanges() {
        schedule(DRAIN_AT_MS, serverList(1, "LAME", 0));
        schedule(RESTART_AT_MS, serverList(2, "OUT", RESTART_AT_MS));
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            schedule(DRAIN_AT_MS + 10 * gateway, announce(gateway, 1, "whole"));
            schedule(RESTART_AT_MS + 10 * gateway, announce(gateway, 2, "whole"));
        }
    }

    private void runTick() throws IOException {
        List<String> batch = new ArrayList<>();
        while (!events.isEmpty() && events.peek().atMs <= now) {
            batch.add(events.poll().event);
        }
        if (batch.isEmpty()) {
            return;
        }
        String input = "{\"timeMs\":" + ms(now) + ",\"news\":[" + String.join(",", batch) + "]}";
        String reply = benchLink.exchange(input);
        lines.add(input);
        lines.add(reply);
        ReplyActions.parse(reply).forEach(this::react);
    }

    private void schedule(double atMs, String event) {
        events.add(new ScheduledEvent(atMs, nextOrder++, event));
    }

    /** Schedules the events that follow from an action of a gateway. */
    private void react(ReplyActions.Action action) {
        switch (action.name()) {
            case "ROUTE" -> answerAttempt(action);
            case "TOUCH" -> answerHealthCheck(action);
            case "WAKE_AT" ->
                schedule(
                        action.number("atMs"),
                        "{\"ALARM\":{\"gateway\":\"" + action.gateway() + "\",\"tag\":" + (long) action.number("tag")
                                + "}}");
            case "BROADCAST_TO" ->
                schedule(
                        now + GOSSIP_DELAY_MS,
                        "{\"DATAGRAM\":{\"gateway\":\"gateway-" + (long) action.number("whom") + "\",\"from\":"
                                + action.gateway().substring("gateway-".length()) + ",\"body\":\"" + action.text("body")
                                + "\"}}");
            default -> {
                // Answers to clients and closed connections have no effect on the simulated servers.
            }
        }
    }

    private void answerAttempt(ReplyActions.Action route) {
        String request = route.text("ref");
        String server = route.text("server");
        int number = attemptsByRequest.merge(request, 1, Integer::sum) - 1;
        double latencyMs = 3 + 12 * random.nextDouble();
        double capMs = route.number("capMs");
        boolean answered = !hangs(server) && latencyMs < capMs;
        boolean wrongRole = request.startsWith("write") && !isPrimary(server);
        String verdict = !answered ? "too_slow" : wrongRole ? "none_here" : random.nextInt(50) == 0 ? "fault" : "pass";
        double durationMs = answered ? latencyMs : capMs;
        String settled = verdict.equals("pass") ? ",\"settled\":true" : "";
        String reports = answered ? ",\"progress\":" + progress(server) + ",\"healthInfo\":" + report(server) : "";
        schedule(
                now + durationMs,
                "{\"RESPONSE\":{\"gateway\":\"" + route.gateway() + "\",\"ref\":\"" + request + "\",\"roundNo\":"
                        + number
                        + ",\"server\":\"" + server + "\",\"verdict\":\"" + verdict + "\",\"durationMs\":" + ms(durationMs)
                        + settled
                        + reports + "}}");
    }

    private void answerHealthCheck(ReplyActions.Action check) {
        String server = check.text("server");
        boolean answered = !hangs(server);
        schedule(
                now + (answered ? 2 : 250),
                "{\"PING_RESULT\":{\"gateway\":\"" + check.gateway() + "\",\"server\":\"" + server + "\",\"verdict\":\""
                        + (answered ? "pass\",\"healthInfo\":" + report(server) : "too_slow\"") + "}}");
    }

    private void scheduleRequest(int gateway, double atMs) {
        if (atMs >= START_MS + SCENARIO_MS - 500) {
            return;
        }
        int requestClass = random.nextInt(3);
        String id = (requestClass == 2 ? "write" : "read") + gateway + "x" + nextOrder;
        double timeoutMs = requestClass == 2 ? 3_000 : 1_000;
        schedule(
                atMs,
                "{\"REQ\":{\"gateway\":\"gateway-" + gateway + "\",\"ref\":\"" + id + "\",\"dropDeadMs\":"
                        + ms(atMs + timeoutMs)
                        + ",\"connKey\":\"k" + random.nextInt(20) + "\",\"realm\":0,\"setNo\":" + random.nextInt(GROUPS)
                        + ",\"hintMs\":8.0,\"grade\":" + requestClass + "}}");
        if (random.nextInt(40) == 0) {
            schedule(atMs + 4, "{\"VANISHED\":{\"gateway\":\"gateway-" + gateway + "\",\"ref\":\"" + id + "\"}}");
        }
        scheduleRequest(gateway, atMs - MEAN_BETWEEN_REQUESTS_MS * Math.log(1 - random.nextDouble()));
    }

    private static String server(int group, int member) {
        return "10.0." + group + "." + member + ":5432";
    }

    /** Whether the server does not answer now. */
    private boolean hangs(String server) {
        boolean replicaHangs = server.equals(server(0, 1)) && now >= HANG_FROM_MS && now < HANG_TO_MS;
        boolean primaryRestarts = server.equals(server(1, 0)) && now >= RESTART_AT_MS - 300 && now < RESTART_AT_MS;
        return replicaHangs || primaryRestarts;
    }

    private static boolean isPrimary(String server) {
        return server.endsWith(".0:5432");
    }

    private long positionMs(String server) {
        return (long) (now - START_MS) + 100_000 - (isPrimary(server) ? 0 : 40 + 60 * (server.hashCode() & 3));
    }

    private long progress(String server) {
        return 4 * positionMs(server) + (isPrimary(server) ? 1 : 2);
    }

    private String report(String server) {
        return "[" + positionMs(server) / 1000.0 + "," + (isPrimary(server) ? 1 : 0) + ",0.4]";
    }

    private static String announce(int gateway, int sheet, String how) {
        return "{\"ANNOUNCE\":{\"gateway\":\"gateway-" + gateway + "\",\"how\":\"" + how + "\",\"version\":"
                + (sheet + 1) + ",\"sheet\":" + sheet + "}}";
    }

    private static String serverList(int sheet, String stateOfDrained, double restartedAtMs) {
        List<String> rows = new ArrayList<>();
        for (int group = 0; group < GROUPS; group++) {
            for (int member = 0; member < SERVERS_PER_GROUP; member++) {
                boolean drained = group == 0 && member == 2;
                boolean restarted = group == 1 && member == 0 && restartedAtMs > 0;
                rows.add("{\"stageState\":\"" + (drained ? stateOfDrained : "IN") + "\",\"writer\":"
                        + (member == 0 ? 1 : 0)
                        + ",\"locality\":" + member % 2 + ",\"server\":\"" + server(group, member)
                        + "\",\"model\":0,\"cell\":" + group
                        + ",\"rating\":1" + (restarted ? ",\"bornMs\":" + ms(restartedAtMs) : "") + "}");
            }
        }
        return "{\"LEDGER\":{\"sheet\":" + sheet + ",\"rows\":[" + String.join(",", rows) + "]}}";
    }

    private static String boot(int gateway) {
        return "{\"BOOT\":{\"gateway\":\"gateway-" + gateway + "\",\"salt\":" + (71 + gateway) + ",\"profileData\":{"
                + "\"accounts\":[{\"name\":\"a\",\"quotaPerS\":300}],\"balancers\":" + GATEWAYS + ",\"selfIndex\":"
                + gateway + ","
                + "\"contract\":{\"answerSlackMs\":50,\"coldMs\":4000,\"mustAskInMs\":0,\"overloadFactor\":1.5,\"overloadForMs\":400,"
                + "\"startCapacity\":0.2,\"stopSendingWithinMs\":500},\"discovery\":\"automatic\",\"overShareWorth\":0.05,"
                + "\"policyLimits\":{\"cancel\":true,\"connectTimeoutMs\":250.0,\"idleCloseMs\":30000.0,\"maxRetryAfterMs\":1000.0,"
                + "\"mayDuplicate\":false,\"peerMessages\":true,\"probes\":true,\"retryAfter\":true,\"sendCap\":6},"
                + "\"profiles\":[" + profile("bounded", "repeatable", 300, 1_000, 2) + ","
                + profile("any", "repeatable", 300, 1_000, 1)
                + "," + profile("write", "once", 400, 3_000, 6) + "],"
                + "\"report\":{\"fields\":[\"x0\",\"x1\",\"busy\"],\"via\":\"piggyback\"},"
                + "\"specifics\":{\"checks\":\"silent\",\"classRead\":[\"lag_bound\",\"eventual\",\"mutate\"],"
                + "\"oldestDataMs\":[200.0,0.0,0.0],\"positionZeroMs\":" + ms(START_MS - 100_000)
                + ",\"positions\":true,"
                + "\"tokens\":\"kept\",\"waitMs\":0.0},\"zones\":[\"a\",\"b\"]}}}";
    }

    private static String profile(String name, String effect, int aimMs, int deadlineMs, int worth) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"aimMs\":" + aimMs + ",\"deadlineMs\":"
                + deadlineMs + ",\"dedupScope\":\"all\",\"dedupWindowMs\":5000,\"worth\":" + worth
                + ",\"lateShare\":0,\"stream\":false}";
    }

    /** Formats milliseconds with three decimals. */
    private static String ms(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    /** Runs a {@link BenchLink} on a thread of its own, and exchanges one line of input for its reply at a time. */
    private static final class LineExchange {
        private final PipedOutputStream toLink = new PipedOutputStream();
        private final BufferedReader fromLink;
        private final Thread link;

        private LineExchange() {
            try {
                InputStream input = new PipedInputStream(toLink, 1 << 20);
                PipedInputStream replies = new PipedInputStream(1 << 20);
                OutputStream output = new PipedOutputStream(replies);
                fromLink = new BufferedReader(new InputStreamReader(replies, StandardCharsets.UTF_8));
                link = new Thread(() -> run(input, output), "benchlink");
                link.start();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private static void run(InputStream input, OutputStream output) {
            try {
                new BenchLink(input, output, null).run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private String exchange(String line) throws IOException {
            toLink.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            toLink.flush();
            return fromLink.readLine();
        }

        private void close() throws IOException, InterruptedException {
            toLink.close();
            link.join();
        }
    }
}
