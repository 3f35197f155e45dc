package ploverdale.tools.stand;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.ledger.Ledger.Answer;

/**
 * Clients with sessions that send each request of a session to a random gateway, over a new connection. A read must see
 * the last successful write of its session. A write that did not succeed may be submitted again under its id, possibly
 * to another gateway. A session has at most one request in flight.
 */
public final class ReconnectingClients extends SingleRequestClients {
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
    private static final int MAX_BEFORE_RESUBMISSION_MS = 61;
    private static final long MAX_LATENCY_US = 60_000_000;
    private static final long ABANDON_AFTER_TIMEOUT_MS = 400; // after the timeout of the request

    private final Behavior behavior;
    private final Set<Integer> busySessions = new HashSet<>(); // sessions with a request in flight
    private final Set<Integer> usedSessions = new HashSet<>();
    private final Histogram writes = new Histogram(MAX_LATENCY_US, 3); // latencies of succeeded requests, microseconds
    private final Histogram reads = new Histogram(MAX_LATENCY_US, 3);
    private int nextNumber;
    private int requests;
    private int resubmissions;

    /** @param ports where the gateways accept clients on 127.0.0.1, by number */
    public ReconnectingClients(
            Vertx vertx, Ledger ledger, RandomGenerator random, List<Integer> ports, Behavior behavior) {
        super(vertx, ledger, random, ports);
        this.behavior = behavior;
    }

    @Override
    public void start() {
        double meanMs = 1000 / behavior.requestsPerSecond();
        long delayMs = Math.max(1, Math.round(-Math.log(1 - random().nextDouble()) * meanMs));
        after(delayMs, () -> {
            if (!isStopped()) {
                sendForFreeSession();
                start();
            }
        });
    }

    /** Sends a request of a random session, unless that has one in flight. */
    private void sendForFreeSession() {
        int session = random().nextInt(behavior.sessions());
        if (busySessions.add(session)) {
            usedSessions.add(session);
            boolean write = random().nextDouble() < WRITE_SHARE;
            new Submission(session, write, "roam-" + nextNumber++, 0).connect();
        }
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
        private final int gateway = random().nextInt(gateways());
        private final long createdNs = System.nanoTime();
        private boolean sent;

        private Submission(int session, boolean write, String id, int earlierSubmissions) {
            this.session = session;
            this.write = write;
            this.id = id;
            this.earlierSubmissions = earlierSubmissions;
        }

        private void connect() {
            open(gateway, TIMEOUT_MS + ABANDON_AFTER_TIMEOUT_MS, this);
        }

        @Override
        public void onReady(SingleRequestConnection connection) {
            sent = true;
            requests++;
            if (earlierSubmissions == 0) {
                recordSent(id, write, gateway, TIMEOUT_MS);
                recordSession(id, "s" + session);
            } else {
                resubmissions++;
                recordResent(id, gateway, TIMEOUT_MS);
            }
            connection.send(query());
        }

        private Buffer query() {
            String statement = write
                    ? "INSERT INTO state (uid, val) VALUES ('s" + session + "', '\\x00') RETURNING val"
                    : "SELECT val FROM state WHERE uid = 's" + session + "'";
            return MessageWriter.query(statement + " /* id=" + id + ",c=" + (write ? "put" : "mine") + ",t=all,d="
                    + TIMEOUT_MS + ",cluster=0" + (earlierSubmissions > 0 ? ",r=1" : "") + " */");
        }

        @Override
        public void onEnded(Answer answer) {
            if (sent) {
                recordAnswer(id, answer);
            }
            if (answer == Answer.SUCCEEDED) {
                long latencyUs = (System.nanoTime() - createdNs) / 1000;
                (write ? writes : reads).recordValue(Math.min(MAX_LATENCY_US, latencyUs));
            }
            if (isSubmittedAgain(answer)) {
                Submission next = new Submission(session, true, id, earlierSubmissions + 1);
                afterAtMost(MAX_BEFORE_RESUBMISSION_MS, next::connect);
            } else {
                busySessions.remove(session);
            }
        }

        private boolean isSubmittedAgain(Answer answer) {
            return write
                    && behavior.resubmitsWrites()
                    && sent
                    && answer != Answer.SUCCEEDED
                    && earlierSubmissions < MAX_RESUBMISSIONS
                    && !isStopped();
        }
    }
}
