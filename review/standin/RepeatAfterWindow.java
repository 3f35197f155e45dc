package standin;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Tokened writes at one group, figures of bkk-homework. The group drops a repeat for 2 s (and 50 ms more, the slack on
 * sockets). With the disruption it is a day like zone+brink: a third of the connections to database servers come up
 * late, idle ones are closed early, and some are reset under requests that have begun, also long after.
 */
final class RepeatAfterWindow {
    private static final long WINDOW_MS = 2000;
    private static final long SLACK_MS = 50;
    private static final long WORK_MS = 180;
    private static final int SECONDS = 75;
    private static final int WRITES_PER_SECOND = 6; // at two groups
    private static final long IDLE_MS = 20;

    private final Standin.Run run;
    private final Random random = new Random(56);
    private final Map<String, Long> firstArrival = Standin.sharedMap();
    private final Map<String, AtomicInteger> newWrites = Standin.sharedMap();
    private final AtomicInteger ranTwice = new AtomicInteger();
    private final AtomicInteger repeatsDropped = new AtomicInteger();
    private final AtomicInteger resets = new AtomicInteger();
    private final Map<String, AtomicInteger> answers = Standin.sharedMap();

    private RepeatAfterWindow(Standin.Run run) {
        this.run = run;
    }

    public static void main(String[] args) throws Exception {
        Standin.main(args[0], run -> new RepeatAfterWindow(run).holds());
    }

    private boolean holds() throws Exception {
        Standin.Server[] servers = {
            run.server("s-1", 0, true), run.server("s-2", 0, false), run.server("s-3", 1, true), run.server("s-4", 1, false)
        };
        Standin.Agent agent = run.open(new Standin.Agent());
        for (Standin.Server server : servers) {
            server.handler = this::onQuery;
            agent.put(server, "SERVING", server.primary ? "source" : "copy", 0);
            if (run.trouble) {
                server.connectDelay = this::connectDelay;
                Standin.daemon("idle closer", () -> closeIdle(server));
            }
        }
        int port = Standin.freePort();
        Standin.Gateway gateway = run.gateway("n0", configuration(port, agent), port, agent.address());
        if (!gateway.awaitReady(30_000)) {
            throw new Standin.CannotRun("the gateway was not ready within 30 s");
        }
        run.record.tell("the gateway is ready");
        load(gateway);
        run.record.tell(firstArrival.size() + " writes reached the primaries, " + resets.get()
                + " lost their connection, " + repeatsDropped.get() + " repeats came in time, " + ranTwice.get()
                + " ran twice; answers " + answers);
        if (!gateway.process.isAlive()) {
            run.record.tell("the gateway has ended");
            return false;
        }
        if (firstArrival.size() < SECONDS * WRITES_PER_SECOND / 2) {
            throw new Standin.CannotRun("too few writes reached the primaries");
        }
        return ranTwice.get() == 0;
    }

    private synchronized long connectDelay() {
        return random.nextInt(3) == 0 ? 170 + random.nextInt(60) : 0;
    }

    /** Returns after how long the connection under a new write is reset, or 0 if it is not: every fifth at a server. */
    private synchronized long resetAfter(Standin.Server server) {
        int number = newWrites.computeIfAbsent(server.id, id -> new AtomicInteger()).incrementAndGet();
        return run.trouble && number % 5 == 0 ? 1800 + random.nextInt(190) : 0;
    }

    private void closeIdle(Standin.Server server) throws InterruptedException {
        while (true) {
            Thread.sleep(5);
            for (Standin.ServerConnection connection : server.connections) {
                if (!connection.busy && System.currentTimeMillis() - connection.lastUsedMs > IDLE_MS) {
                    connection.close();
                }
            }
        }
    }

    private void onQuery(Standin.ServerConnection connection, Standin.Query query)
            throws java.io.IOException, InterruptedException {
        long arrived = System.currentTimeMillis();
        Standin.Server server = connection.server;
        if (!query.write()) {
            Thread.sleep(20);
            long position = arrived - (server.primary ? 0 : 8);
            connection.row("v".getBytes(StandardCharsets.UTF_8), "SELECT 1", position);
            return;
        }
        if (!server.primary) {
            connection.error("25006", "not the primary", System.currentTimeMillis() - 8);
            return;
        }
        Long before = firstArrival.putIfAbsent(query.id(), arrived);
        if (before != null) {
            long since = arrived - before;
            if (since > WINDOW_MS + SLACK_MS) {
                ranTwice.incrementAndGet();
                run.record.tell(
                        "op " + query.id() + " came again " + since + " ms after its first send: it ran twice");
            } else {
                repeatsDropped.incrementAndGet();
                run.record.line("op " + query.id() + " came again after " + since + " ms, dropped as a repeat");
            }
            connection.row("v".getBytes(StandardCharsets.UTF_8), "INSERT 0 1", arrived);
            return;
        }
        long resetAfter = resetAfter(server);
        Thread.sleep(WORK_MS);
        long commit = System.currentTimeMillis();
        run.record.line("op " + query.id() + " ran, d=" + query.fields().get("d"));
        if (resetAfter > 0) {
            Thread.sleep(Math.max(0, resetAfter - WORK_MS));
            resets.incrementAndGet();
            run.record.line("op " + query.id() + " its connection is reset after " + resetAfter + " ms");
            connection.reset();
            throw new java.io.IOException("reset");
        }
        connection.row("v".getBytes(StandardCharsets.UTF_8), "INSERT 0 1", commit);
    }

    private void load(Standin.Gateway gateway) throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        LinkedBlockingDeque<Standin.Client> idle = new LinkedBlockingDeque<>();
        long start = System.nanoTime();
        for (int n = 0; n < SECONDS * WRITES_PER_SECOND; n++) {
            long dueNanos = start + n * 1_000_000_000L / WRITES_PER_SECOND;
            long waitMs = (dueNanos - System.nanoTime()) / 1_000_000;
            if (waitMs > 0) {
                Thread.sleep(waitMs);
            }
            int number = n;
            threads.execute(() -> ask(gateway, idle, number));
        }
        threads.shutdown();
        threads.awaitTermination(10, TimeUnit.SECONDS);
    }

    private void ask(Standin.Gateway gateway, LinkedBlockingDeque<Standin.Client> idle, int number) {
        String id = "w" + number;
        Standin.Client client = idle.pollLast();
        try {
            if (client == null) {
                client = new Standin.Client(gateway.address);
            }
            run.record.line("op " + id + " sent");
            client.send(Standin.query(Standin.write("pupil-" + number, "9f03", id, "submit", 3000, number % 2)));
            Standin.Answer answer = client.nextAnswer(4000);
            run.record.line("op " + id + " answered: " + answer);
            answers.computeIfAbsent(answer.kind + " " + answer.code, kind -> new AtomicInteger()).incrementAndGet();
            if (answer.kind.equals("closed")) {
                client.close();
            } else {
                idle.addLast(client);
            }
        } catch (java.io.IOException failure) {
            run.record.line("op " + id + " no answer: " + failure);
            answers.computeIfAbsent("none", kind -> new AtomicInteger()).incrementAndGet();
        }
    }

    private static String configuration(int port, Standin.Agent agent) {
        return "{\"name\":\"n0\",\"listen\":\"" + Standin.HOST + ":" + port + "\",\"discovery\":\"" + agent.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + agent.whole() + ",\"settings\":{\"balancers\":1,\"selfIndex\":0,"
                + "\"domainType\":\"replicas\",\"discovery\":\"automatic\",\"zones\":[\"a\"],\"kinds\":[\"m\"],"
                + "\"accounts\":[{\"name\":\"acme\",\"fraction\":1,\"quotaPerS\":200}],\"overShareWorth\":0.05,"
                + "\"profiles\":[{\"name\":\"page-read\",\"aimMs\":500,\"deadlineMs\":2000,\"effect\":\"repeatable\","
                + "\"worth\":2,\"lateShare\":0},{\"name\":\"submit\",\"aimMs\":1500,\"deadlineMs\":3000,"
                + "\"effect\":\"by_key\",\"dedupScope\":\"cell\",\"dedupWindowMs\":" + WINDOW_MS
                + ",\"worth\":6,\"lateShare\":0.7}],\"specifics\":{\"classRead\":[\"lag_bound\",\"mutate\"],"
                + "\"oldestDataMs\":[500,0],\"positions\":true,\"positionZeroMs\":0,\"checks\":\"await\",\"waitMs\":100,"
                + "\"tokens\":\"kept\",\"roleListed\":\"trailing\"},\"report\":{\"via\":\"pull\",\"fields\":[\"x0\",\"x1\"]},"
                + "\"callers\":{\"marksRetry\":false},"
                + "\"policyLimits\":{\"sendCap\":10,\"cancel\":true,\"probes\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterMs\":1000,\"connectTimeoutMs\":250,\"idleCloseMs\":30000,\"mayDuplicate\":false,"
                + "\"maxStreams\":1,\"peerMessages\":false},"
                + "\"contract\":{\"answerSlackMs\":20,\"startCapacity\":0.28,\"coldMs\":17000,\"overloadFactor\":4,"
                + "\"overloadForMs\":3000,\"stopSendingWithinMs\":1000}}}";
    }
}
