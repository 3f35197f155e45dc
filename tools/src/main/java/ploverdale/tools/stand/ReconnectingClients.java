package ploverdale.tools.stand;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import ploverdale.clock.Clock;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.ledger.Ledger.Answer;

/**
 * Clients with sessions that send each request of a session to a random gateway, over a new connection. A read must see
 * the last successful write of its session. A write that did not succeed may be submitted again under its id, possibly
 * to another gateway. A session has at most one request in flight.
 */
public final class ReconnectingClients implements BackgroundClients {
    /**
     * How the clients behave.
     *
     * @param sessions the number of sessions
     * @param requestsPerSecond of all sessions together
     * @param resubmitsWrites whether a write that did not succeed is submitted again under its id
     */
    public record Behavior(int sessions, double requestsPerSecond, boolean resubmitsWrites) {}

    private static final double WRITE_SHARE = 0.4;
    private static final int TIMEOUT_MS = 900;
    private static final int MAX_RESUBMISSIONS = 3;
    private static final long ABANDON_AFTER_TIMEOUT_MS = 400; // after the timeout of the request

    private final Vertx vertx;
    private final Ledger ledger;
    private final RandomGenerator random;
    private final List<Integer> ports;
    private final Behavior behavior;
    private final NetClient net;
    private final Set<Integer> busySessions = new HashSet<>(); // sessions with a request in flight
    private final Set<Integer> usedSessions = new HashSet<>();
    private final Histogram writes = new Histogram(60_000_000, 3); // latencies of succeeded requests, microseconds
    private final Histogram reads = new Histogram(60_000_000, 3);
    private int nextNumber;
    private int requests;
    private int resubmissions;
    private boolean stopped;

    /** @param ports where the gateways accept clients on 127.0.0.1, by number */
    public ReconnectingClients(
            Vertx vertx, Ledger ledger, RandomGenerator random, List<Integer> ports, Behavior behavior) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.random = random;
        this.ports = ports;
        this.behavior = behavior;
        net = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    @Override
    public void start() {
        vertx.setTimer(
                Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1000 / behavior.requestsPerSecond())),
                x -> {
                    if (!stopped) {
                        int session = random.nextInt(behavior.sessions());
                        if (busySessions.add(session)) {
                            usedSessions.add(session);
                            new Submission(session, random.nextDouble() < WRITE_SHARE, "roam-" + nextNumber++, 0)
                                    .connect();
                        }
                        start();
                    }
                });
    }

    @Override
    public void stop() {
        stopped = true;
    }

    /** Returns how many sessions sent at least one request. */
    public int sessions() {
        return usedSessions.size();
    }

    /** Returns how many requests were sent, resubmissions included. */
    public int requests() {
        return requests;
    }

    /** Returns how many submissions repeated an earlier one of the same write. */
    public int resubmissions() {
        return resubmissions;
    }

    /** Returns the latencies of succeeded writes, in microseconds, connecting included. */
    public Histogram writes() {
        return writes;
    }

    /** Returns the latencies of succeeded reads, in microseconds, connecting included. */
    public Histogram reads() {
        return reads;
    }

    /** One submission of a request, on a connection of its own. */
    private final class Submission implements SingleRequestConnection.Listener {
        private final int session;
        private final boolean write;
        private final String id;
        private final int earlierSubmissions;
        private final int gateway = random.nextInt(ports.size());
        private final long createdNs = System.nanoTime();
        private boolean sent;

        private Submission(int session, boolean write, String id, int earlierSubmissions) {
            this.session = session;
            this.write = write;
            this.id = id;
            this.earlierSubmissions = earlierSubmissions;
        }

        private void connect() {
            SingleRequestConnection connection = SingleRequestConnection.open(net, ports.get(gateway), this);
            vertx.setTimer(TIMEOUT_MS + ABANDON_AFTER_TIMEOUT_MS, timer -> connection.giveUp());
        }

        @Override
        public void onReady(SingleRequestConnection connection) {
            long now = Clock.system().now();
            sent = true;
            requests++;
            if (earlierSubmissions == 0) {
                ledger.requestSent(
                        id,
                        new Ledger.RequestTraits(write, false, 0),
                        id,
                        Integer.toString(gateway),
                        now,
                        now + TIMEOUT_MS * 10L);
                ledger.inSession(id, "s" + session);
            } else {
                resubmissions++;
                ledger.requestResent(id, Integer.toString(gateway), now, now + TIMEOUT_MS * 10L);
            }
            String comment = " /* id=" + id + ",c=" + (write ? "put" : "mine") + ",t=all,d=" + TIMEOUT_MS + ",cluster=0"
                    + (earlierSubmissions > 0 ? ",r=1" : "") + " */";
            connection.send(MessageWriter.query((write
                            ? "INSERT INTO state (uid, val) VALUES ('s" + session + "', '\\x00') RETURNING val"
                            : "SELECT val FROM state WHERE uid = 's" + session + "'")
                    + comment));
        }

        @Override
        public void onEnded(Answer result) {
            if (sent && result != null) {
                ledger.answered(id, result, Clock.system().now());
            } else if (sent) {
                ledger.clientLeft(id);
            }
            if (result == Answer.SUCCEEDED) {
                (write ? writes : reads).recordValue(Math.min(60_000_000, (System.nanoTime() - createdNs) / 1000));
            }
            boolean resubmit = write
                    && behavior.resubmitsWrites()
                    && sent
                    && result != Answer.SUCCEEDED
                    && earlierSubmissions < MAX_RESUBMISSIONS
                    && !stopped;
            if (resubmit) {
                vertx.setTimer(
                        1 + random.nextInt(60),
                        x -> new Submission(session, true, id, earlierSubmissions + 1).connect());
            } else {
                busySessions.remove(session);
            }
        }
    }
}
