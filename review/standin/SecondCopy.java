package standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Tills read prices from one set of five databases in another hall, 2 ms away; figures of tills-sk. Each value names the
 * request that it was made for. With the disruption one answer in twenty-five has a second copy right behind: the server
 * writes it 0.3 ms after the answer, when that is still on its way, so that nothing else waits on the connection.
 */
final class SecondCopy {
    private static final int SECONDS = 45;
    private static final long ONE_WAY_NANOS = 2_000_000;
    private static final long GAP_NANOS = 300_000;
    private static final long LATEST_NANOS = 1_500_000;
    private static final int CLIENTS = 48;

    private final Standin.Run run;
    private final Random random = new Random(56);
    private final Map<String, AtomicInteger> answers = Standin.sharedMap();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final Set<String> foreignValues = ConcurrentHashMap.newKeySet();
    private final Set<String> copiedInTime = ConcurrentHashMap.newKeySet();
    private final AtomicLong longestGapNanos = new AtomicLong();
    private volatile Standin.Gateway gateway;

    private SecondCopy(Standin.Run run) {
        this.run = run;
    }

    public static void main(String[] args) throws Exception {
        Standin.main(args[0], run -> new SecondCopy(run).holds());
    }

    private boolean holds() throws Exception {
        Standin.Agent agent = run.open(new Standin.Agent());
        for (int n = 1; n <= 5; n++) {
            Standin.Server server = run.server("s-" + n, 0, n == 1);
            server.handler = this::onQuery;
            agent.put(server, "SERVING", server.primary ? "source" : "copy", 0);
        }
        int port = Standin.freePort();
        gateway = run.gateway("n0", configuration(port, agent), port, agent.address());
        if (!gateway.awaitReady(30_000)) {
            throw new Standin.CannotRun("the gateway was not ready within 30 s");
        }
        run.record.tell("the gateway is ready");
        Thread[] clients = new Thread[CLIENTS];
        long until = System.currentTimeMillis() + SECONDS * 1000L;
        for (int n = 0; n < CLIENTS; n++) {
            int number = n;
            clients[n] = Standin.daemon("client", () -> ask(number, until));
        }
        for (Thread client : clients) {
            client.join();
        }
        run.record.tell(asked.get() + " requests, " + copies.get() + " second copies, each written within "
                + longestGapNanos.get() / 1000 + " us of its answer, " + foreign.get()
                + " served with the value of another request; answers " + answers);
        if (!gateway.process.isAlive()) {
            run.record.tell("the gateway has ended");
            return false;
        }
        if (asked.get() < SECONDS * 50) {
            throw new Standin.CannotRun("too few requests");
        }
        // Only copies that were surely out before the answer could arrive are held against the gateway.
        foreignValues.retainAll(copiedInTime);
        run.record.tell(foreignValues.size() + " copies, each written whole within " + LATEST_NANOS / 1000
                + " us of its answer, were served to another request");
        return foreignValues.isEmpty();
    }

    private void ask(int number, long until) throws Exception {
        Random pauses = new Random(number);
        try (Standin.Client client = new Standin.Client(gateway.address)) {
            for (int n = 0; System.currentTimeMillis() < until; n++) {
                String id = "c" + number + "-" + n;
                client.send(Standin.query(Standin.read("price-" + number, id, "price-lookup", 1200, 0)));
                run.record.line("op " + id + " sent");
                asked.incrementAndGet();
                check(id, client.nextAnswer(3000));
                Thread.sleep(pauses.nextInt(120));
            }
        }
    }

    private void check(String id, Standin.Answer answer) throws IOException {
        run.record.line("op " + id + " answered: " + answer);
        answers.computeIfAbsent(answer.kind + " " + answer.code, kind -> new AtomicInteger()).incrementAndGet();
        if (answer.kind.equals("closed")) {
            throw new IOException("closed");
        }
        if (answer.kind.equals("row")) {
            String made = new String(answer.value, 0, 16, StandardCharsets.UTF_8).trim();
            if (!made.equals(id)) {
                foreign.incrementAndGet();
                foreignValues.add(made);
                run.record.tell("op " + id + " was answered with the value that was made for op " + made);
            }
        }
    }

    private synchronized boolean chance() {
        return random.nextInt(25) == 0;
    }

    private synchronized int workMs() {
        return 10 + random.nextInt(20);
    }

    private void onQuery(Standin.ServerConnection connection, Standin.Query query)
            throws IOException, InterruptedException {
        Thread.sleep(workMs());
        byte[] value = Arrays.copyOf(query.id().getBytes(StandardCharsets.UTF_8), 2000);
        long position = System.currentTimeMillis() - (connection.server.primary ? 0 : 8);
        run.record.line("op " + query.id() + " ran at " + connection.server.id);
        boolean copied = run.trouble && chance();
        LockSupport.parkNanos(ONE_WAY_NANOS);
        connection.row(value, "SELECT 1", position);
        long answeredNanos = System.nanoTime();
        if (copied) {
            LockSupport.parkNanos(GAP_NANOS);
            if (System.nanoTime() - answeredNanos > LATEST_NANOS) {
                return; // a thread that woke late: the answer may have arrived
            }
            copies.incrementAndGet();
            connection.row(value, "SELECT 1", position);
            long gapNanos = System.nanoTime() - answeredNanos;
            longestGapNanos.accumulateAndGet(gapNanos, Math::max);
            if (gapNanos < LATEST_NANOS) {
                copiedInTime.add(query.id());
            }
            run.record.line("op " + query.id() + " answered by " + connection.server.id + " with a second copy");
        }
    }

    private static String configuration(int port, Standin.Agent agent) {
        return "{\"name\":\"n0\",\"listen\":\"" + Standin.HOST + ":" + port + "\",\"discovery\":\"" + agent.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + agent.whole() + ",\"settings\":{\"balancers\":1,\"selfIndex\":0,"
                + "\"domainType\":\"replicas\",\"discovery\":\"automatic\",\"zones\":[\"a\"],\"kinds\":[\"m\"],"
                + "\"accounts\":[{\"name\":\"acme\",\"fraction\":1,\"quotaPerS\":2000}],\"overShareWorth\":0.05,"
                + "\"profiles\":[{\"name\":\"price-lookup\",\"aimMs\":300,\"deadlineMs\":1200,\"effect\":\"repeatable\","
                + "\"worth\":1,\"lateShare\":0.2}],\"specifics\":{\"classRead\":[\"lag_bound\"],"
                + "\"oldestDataMs\":[300],\"positions\":true,\"positionZeroMs\":0,\"checks\":\"silent\",\"waitMs\":0,"
                + "\"tokens\":\"kept\",\"roleListed\":\"trailing\"},\"report\":{\"via\":\"piggyback\",\"fields\":[\"x0\",\"x1\"]},"
                + "\"callers\":{\"marksRetry\":false},"
                + "\"policyLimits\":{\"sendCap\":6,\"cancel\":true,\"probes\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterMs\":1000,\"connectTimeoutMs\":250,\"idleCloseMs\":15000,\"mayDuplicate\":true,"
                + "\"maxStreams\":1,\"peerMessages\":false},"
                + "\"contract\":{\"answerSlackMs\":20,\"startCapacity\":0.15,\"coldMs\":13000,\"overloadFactor\":2,"
                + "\"overloadForMs\":1500,\"stopSendingWithinMs\":2000}}}";
    }
}
