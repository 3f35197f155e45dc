package standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One group of eight databases, figures of maribor-signing. Clients send six commands at once, in the shares of its op
 * types: a submit-write, then five status-reads whose values have the size that the pages allow. With the disruption the
 * primary goes silent after ten seconds; it is given up after 2.5 s, and a replica takes over 3.5 s later.
 */
final class PipelinedAnswers {
    private static final int SECONDS = 35;
    private static final int BATCHES_PER_SECOND = 106; // 636 requests a second
    private static final int READS_IN_BATCH = 5;
    private static final int MAX_CLIENTS = 340;
    private static final long SILENT_AT_MS = 10_000;
    private static final long TAKEOVER_AFTER_MS = 6_000;
    private static final byte[] VALUE = new byte[64 * 1024];

    private final Standin.Run run;
    private final AtomicInteger clients = new AtomicInteger();
    private final AtomicInteger mostClients = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final Map<String, AtomicInteger> answers = Standin.sharedMap();

    private PipelinedAnswers(Standin.Run run) {
        this.run = run;
    }

    public static void main(String[] args) throws Exception {
        Standin.main(args[0], run -> new PipelinedAnswers(run).holds());
    }

    private boolean holds() throws Exception {
        java.util.Arrays.fill(VALUE, (byte) 'v');
        Standin.Agent agent = run.open(new Standin.Agent());
        Standin.Server[] servers = new Standin.Server[8];
        for (int n = 0; n < servers.length; n++) {
            servers[n] = run.server("s-" + (n + 1), 0, n == 0);
            servers[n].handler = this::onQuery;
            agent.put(servers[n], "SERVING", n == 0 ? "source" : "copy", 0);
        }
        int port = Standin.freePort();
        Standin.Gateway gateway = run.gateway("n0", configuration(port, agent), port, agent.address());
        if (!gateway.awaitReady(30_000)) {
            throw new Standin.CannotRun("the gateway was not ready within 30 s");
        }
        run.record.tell("the gateway is ready");
        if (run.trouble) {
            Standin.daemon("trouble", () -> silenceAndTakeOver(servers));
        }
        load(gateway);
        boolean alive = gateway.process.isAlive();
        run.record.tell(asked.get() + " requests asked, " + answers + ", " + unanswered.get()
                + " without an answer, at most " + mostClients.get() + " connections at once");
        if (!alive) {
            run.record.tell("the gateway has ended by itself with status " + gateway.process.exitValue());
        }
        return alive;
    }

    private void silenceAndTakeOver(Standin.Server[] servers) throws InterruptedException {
        Thread.sleep(SILENT_AT_MS);
        run.record.tell("the primary s-1 goes silent: no reset, no answer");
        servers[0].silent = true;
        Thread.sleep(TAKEOVER_AFTER_MS);
        servers[1].primary = true;
        run.record.tell("s-2 is the primary now");
    }

    private void onQuery(Standin.ServerConnection connection, Standin.Query query)
            throws IOException, InterruptedException {
        Standin.Server server = connection.server;
        Thread.sleep(8);
        long now = System.currentTimeMillis();
        run.record.line("op " + query.id() + " taken by " + server.id);
        if (query.write() && !server.primary) {
            connection.error("25006", "not the primary", now - 8);
        } else {
            byte[] value = query.write() ? new byte[] {(byte) 1} : VALUE;
            connection.row(value, query.write() ? "INSERT 0 1" : "SELECT 1", now - (server.primary ? 0 : 8));
        }
    }

    private void load(Standin.Gateway gateway) throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(null, task, "client", 256 * 1024);
            thread.setDaemon(true);
            return thread;
        });
        LinkedBlockingDeque<Standin.Client> idle = new LinkedBlockingDeque<>();
        long start = System.nanoTime();
        for (int n = 0; n < SECONDS * BATCHES_PER_SECOND && gateway.process.isAlive(); n++) {
            long waitMs = (start + n * 1_000_000_000L / BATCHES_PER_SECOND - System.nanoTime()) / 1_000_000;
            if (waitMs > 0) {
                Thread.sleep(waitMs);
            }
            int number = n;
            threads.execute(() -> batch(gateway, idle, number));
        }
        threads.shutdown();
        threads.awaitTermination(7, TimeUnit.SECONDS);
    }

    private void batch(Standin.Gateway gateway, LinkedBlockingDeque<Standin.Client> idle, int number) {
        Standin.Client client = idle.pollLast();
        int left = READS_IN_BATCH + 1;
        try {
            if (client == null) {
                if (clients.get() >= MAX_CLIENTS) {
                    return;
                }
                mostClients.accumulateAndGet(clients.incrementAndGet(), Math::max);
                client = new Standin.Client(gateway.address);
            }
            ByteArrayOutputStream commands = new ByteArrayOutputStream();
            commands.writeBytes(Standin.query(Standin.write("image-" + number, "9f03", "w" + number, "submit-write", 5000, 0)));
            for (int n = 0; n < READS_IN_BATCH; n++) {
                commands.writeBytes(Standin.query(Standin.read("build-" + n, "r" + number + "-" + n, "status-read", 1200, 0)));
            }
            run.record.line("batch " + number + " sent");
            client.send(commands.toByteArray());
            asked.addAndGet(left);
            StringBuilder kinds = new StringBuilder();
            while (left > 0) {
                Standin.Answer answer = client.nextAnswer(6000);
                if (answer.kind.equals("closed")) {
                    break;
                }
                left--;
                kinds.append(' ').append(answer.kind).append(answer.code.isEmpty() ? "" : "-" + answer.code);
                answers.computeIfAbsent(answer.kind + " " + answer.code, kind -> new AtomicInteger()).incrementAndGet();
            }
            run.record.line("batch " + number + ":" + kinds + (left > 0 ? ", closed with " + left + " unanswered" : ""));
        } catch (IOException failure) {
            run.record.line("batch " + number + ": " + failure + ", " + left + " unanswered");
        }
        if (left == 0) {
            idle.addLast(client);
        } else {
            unanswered.addAndGet(left);
            clients.decrementAndGet();
            if (client != null) {
                client.close();
            }
        }
    }

    private static String configuration(int port, Standin.Agent agent) {
        return "{\"name\":\"n0\",\"listen\":\"" + Standin.HOST + ":" + port + "\",\"discovery\":\"" + agent.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + agent.whole() + ",\"settings\":{\"balancers\":1,\"selfIndex\":0,"
                + "\"domainType\":\"replicas\",\"discovery\":\"automatic\",\"zones\":[\"a\"],\"kinds\":[\"m\"],"
                + "\"accounts\":[{\"name\":\"acme\",\"fraction\":1,\"quotaPerS\":2000}],\"overShareWorth\":0.05,"
                + "\"profiles\":[{\"name\":\"status-read\",\"aimMs\":400,\"deadlineMs\":1200,\"effect\":\"repeatable\","
                + "\"worth\":3,\"lateShare\":0},{\"name\":\"submit-write\",\"aimMs\":250,\"deadlineMs\":5000,"
                + "\"effect\":\"by_key\",\"dedupScope\":\"cell\",\"dedupWindowMs\":5000,\"worth\":3,\"lateShare\":0.7}],\"specifics\":{\"classRead\":[\"lag_bound\",\"mutate\"],"
                + "\"oldestDataMs\":[1500,0],\"positions\":true,\"positionZeroMs\":0,\"checks\":\"await\",\"waitMs\":50,"
                + "\"tokens\":\"kept\",\"roleListed\":\"static\"},\"report\":{\"via\":\"pull\",\"fields\":[\"x0\",\"x1\"]},"
                + "\"callers\":{\"marksRetry\":false},"
                + "\"policyLimits\":{\"sendCap\":6,\"cancel\":true,\"probes\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterMs\":1000,\"connectTimeoutMs\":250,\"idleCloseMs\":30000,\"mayDuplicate\":false,"
                + "\"maxStreams\":1,\"peerMessages\":false},"
                + "\"contract\":{\"answerSlackMs\":20,\"startCapacity\":0.17,\"coldMs\":16000,\"overloadFactor\":2.5,"
                + "\"overloadForMs\":3000,\"stopSendingWithinMs\":2000}}}";
    }
}
