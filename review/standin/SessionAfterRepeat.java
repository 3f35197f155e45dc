package standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Tills that write and then read their own basket; figures of tills-sk, with tokened writes, as the short days may give
 * a class another effect. With the disruption it is a day like zone+brink: some connections are reset under writes that
 * have begun, also long after, while replicas lag.
 */
final class SessionAfterRepeat {
    private static final long WINDOW_MS = 4000;
    private static final long WORK_MS = 40;
    private static final int TILLS = 4;
    private static final int ROUNDS = 16;
    private static final long RESET_AFTER_MS = 1500;
    private static final long LAG_MS = 900;

    private final Standin.Run run;
    private final Map<String, Long> committed = Standin.sharedMap();
    private final Map<String, NavigableMap<Long, Integer>> writesOfTill = Standin.sharedMap();
    private final Map<String, AtomicInteger> answers = Standin.sharedMap();
    private final AtomicInteger reads = new AtomicInteger();
    private final AtomicInteger stale = new AtomicInteger();
    private volatile Standin.Gateway gateway;

    private SessionAfterRepeat(Standin.Run run) {
        this.run = run;
    }

    public static void main(String[] args) throws Exception {
        Standin.main(args[0], run -> new SessionAfterRepeat(run).holds());
    }

    private boolean holds() throws Exception {
        Standin.Agent agent = run.open(new Standin.Agent());
        for (int n = 1; n <= 5; n++) {
            Standin.Server server = run.server("s-" + n, 0, n == 1);
            server.handler = this::onQuery;
            if (!server.primary) {
                long lag = run.trouble ? LAG_MS : 8;
                server.position = () -> System.currentTimeMillis() - lag;
            }
            agent.put(server, "SERVING", server.primary ? "source" : "copy", 0);
        }
        int port = Standin.freePort();
        gateway = run.gateway("n0", configuration(port, agent), port, agent.address());
        if (!gateway.awaitReady(30_000)) {
            throw new Standin.CannotRun("the gateway was not ready within 30 s");
        }
        run.record.tell("the gateway is ready");
        Thread[] tills = new Thread[TILLS];
        for (int n = 0; n < TILLS; n++) {
            String till = "till-" + n;
            writesOfTill.put(till, new ConcurrentSkipListMap<>());
            tills[n] = Standin.daemon(till, () -> serveTill(till));
        }
        for (Thread till : tills) {
            till.join();
        }
        run.record.tell(reads.get() + " reads of a till's own basket, " + stale.get()
                + " without a write that had been acked before them; answers " + answers);
        if (!gateway.process.isAlive()) {
            run.record.tell("the gateway has ended");
            return false;
        }
        if (reads.get() < TILLS * ROUNDS / 2) {
            throw new Standin.CannotRun("too few reads were answered");
        }
        return stale.get() == 0;
    }

    // -- A till

    private void serveTill(String till) throws Exception {
        Random random = new Random(till.hashCode());
        Thread.sleep(random.nextInt(800));
        try (Standin.Client first = new Standin.Client(gateway.address);
                Standin.Client second = new Standin.Client(gateway.address)) {
            for (int round = 0; round < ROUNDS; round++) {
                int number = 2 * round;
                int[] acked = {-1, -1};
                boolean slowAnswer = round % 2 == 1;
                Thread slow = Standin.daemon("slow write", () -> acked[0] = write(first, till, number, slowAnswer));
                Thread.sleep(900);
                acked[1] = write(second, till, number + 1, false);
                slow.join();
                Thread.sleep(100);
                read(second, till, Math.max(acked[0], acked[1]), round);
                Thread.sleep(1200 + random.nextInt(600));
            }
        }
    }

    /** Returns the number of the write if it was acked, and -1 otherwise. */
    private int write(Standin.Client client, String till, int number, boolean mayBeReset) throws IOException {
        String id = till + "-w" + number + (mayBeReset ? "-a" : "-b");
        client.send(Standin.query(Standin.write(till, "0" + number % 10, id, "sale-close", 5000, 0)));
        Standin.Answer answer = client.nextAnswer(6000);
        count("write " + answer);
        run.record.line("op " + id + " answered: " + answer);
        return answer.kind.equals("row") ? number : -1;
    }

    private void read(Standin.Client client, String till, int mustSee, int round) throws IOException {
        String id = till + "-r" + round;
        run.record.line("op " + id + " sent, must see write " + mustSee);
        client.send(Standin.query(Standin.read(till, id, "basket-read", 1000, 0)));
        Standin.Answer answer = client.nextAnswer(2000);
        count("read " + answer);
        if (!answer.kind.equals("row")) {
            run.record.line("op " + id + " answered: " + answer);
            return;
        }
        reads.incrementAndGet();
        String[] value = new String(answer.value, StandardCharsets.UTF_8).split(" ");
        int seen = Integer.parseInt(value[0]);
        String line = "op " + id + " answered from " + value[1] + " with write " + seen;
        if (seen < mustSee) {
            stale.incrementAndGet();
            run.record.tell(line + ", write " + mustSee + " had been acked before: a stale read");
        } else {
            run.record.line(line);
        }
    }

    private void count(String answer) {
        answers.computeIfAbsent(answer, kind -> new AtomicInteger()).incrementAndGet();
    }

    // -- The database servers

    private void onQuery(Standin.ServerConnection connection, Standin.Query query)
            throws IOException, InterruptedException {
        Standin.Server server = connection.server;
        Thread.sleep(query.write() ? WORK_MS : 10);
        if (!query.write()) {
            long position = server.position.getAsLong();
            Map.Entry<Long, Integer> last = writesOfTill.get(query.key()).floorEntry(position);
            String value = (last == null ? -1 : last.getValue()) + " " + server.id;
            connection.row(value.getBytes(StandardCharsets.UTF_8), "SELECT 1", position);
            return;
        }
        if (!server.primary) {
            connection.error("25006", "not the primary", server.position.getAsLong());
            return;
        }
        Long before = committed.get(query.id());
        if (before != null) {
            if (System.currentTimeMillis() - before > WINDOW_MS) {
                throw new IOException("a repeat after the window, which this case does not judge");
            }
            run.record.line("op " + query.id() + " came again, dropped as a repeat, committed at " + before);
            connection.row(new byte[] {'s'}, "INSERT 0 1", before);
            return;
        }
        long commit = System.currentTimeMillis();
        committed.put(query.id(), commit);
        int number = Integer.parseInt(query.id().split("-w")[1].split("-")[0]);
        writesOfTill.get(query.key()).put(commit, number);
        run.record.line("op " + query.id() + " ran, committed at " + commit);
        if (run.trouble && query.id().endsWith("-a")) {
            Thread.sleep(RESET_AFTER_MS - WORK_MS);
            run.record.line("op " + query.id() + " its connection is reset");
            connection.reset();
            throw new IOException("reset");
        }
        connection.row(new byte[] {'s'}, "INSERT 0 1", commit);
    }

    private static String configuration(int port, Standin.Agent agent) {
        return "{\"name\":\"n0\",\"listen\":\"" + Standin.HOST + ":" + port + "\",\"discovery\":\"" + agent.address()
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + agent.whole() + ",\"settings\":{\"balancers\":1,\"selfIndex\":0,"
                + "\"domainType\":\"replicas\",\"discovery\":\"automatic\",\"zones\":[\"a\"],\"kinds\":[\"m\"],"
                + "\"accounts\":[{\"name\":\"acme\",\"fraction\":1,\"quotaPerS\":200}],\"overShareWorth\":0.05,"
                + "\"profiles\":[{\"name\":\"basket-read\",\"aimMs\":300,\"deadlineMs\":1000,\"effect\":\"repeatable\","
                + "\"worth\":1,\"lateShare\":0},{\"name\":\"sale-close\",\"aimMs\":1500,\"deadlineMs\":5000,"
                + "\"effect\":\"by_key\",\"dedupScope\":\"cell\",\"dedupWindowMs\":" + WINDOW_MS
                + ",\"worth\":3,\"lateShare\":0.5}],\"specifics\":{\"classRead\":[\"causal\",\"mutate\"],"
                + "\"oldestDataMs\":[0,0],\"positions\":true,\"positionZeroMs\":0,\"checks\":\"silent\",\"waitMs\":0,"
                + "\"tokens\":\"kept\",\"roleListed\":\"trailing\"},\"report\":{\"via\":\"piggyback\",\"fields\":[\"x0\",\"x1\"]},"
                + "\"callers\":{\"marksRetry\":false},"
                + "\"policyLimits\":{\"sendCap\":6,\"cancel\":true,\"probes\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterMs\":1000,\"connectTimeoutMs\":250,\"idleCloseMs\":15000,\"mayDuplicate\":true,"
                + "\"maxStreams\":1,\"peerMessages\":false},"
                + "\"contract\":{\"answerSlackMs\":20,\"startCapacity\":0.15,\"coldMs\":13000,\"overloadFactor\":2,"
                + "\"overloadForMs\":1500,\"stopSendingWithinMs\":2000}}}";
    }
}
