package ploverdale.tools.stand;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import ploverdale.clock.Clock;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.net.postgres.ServerMessageReader;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.ledger.Ledger.Answer;

/**
 * Simulates the clients of one gateway. Requests arrive as a Poisson process; each occupies one connection while it is
 * in flight. A rejected request is retried once, under a new id, after a delay. Requests and their outcomes are
 * counted, those of an initial period also separately.
 */
public final class Clients {
    /** Counts the requests of one kind and their outcomes. */
    public static final class Tally {
        private int requests;
        private int succeeded;
        private int rejected;
        private int failed;
        private final Histogram latency = new Histogram(MAX_LATENCY_US, 3); // of succeeded requests, in microseconds

        public int requests() {
            return requests;
        }

        public int succeeded() {
            return succeeded;
        }

        public int rejected() {
            return rejected;
        }

        public int failed() {
            return failed;
        }

        public Histogram latency() {
            return latency;
        }
    }

    /** Upper limit of recorded latencies, in microseconds; longer ones are recorded as this value. */
    public static final long MAX_LATENCY_US = 60_000_000;

    private static final long RETRY_DELAY_MS = 40;
    private static final long ABANDON_AFTER_TIMEOUT_MS = 1000; // the ledger reports what a missing answer violates
    private static final int WRITE_TIMEOUT_MS = 1500;
    private static final int READ_TIMEOUT_MS = 800;
    private static final double WRITE_SHARE = 0.35;

    private final Vertx vertx;
    private final Ledger ledger;
    private final RandomGenerator random;
    private final String gateway;
    private final int port;
    private final long stalenessBound;
    private final NetClient net;
    private final Deque<ClientConnection> idle = new ArrayDeque<>();
    private final Map<String, Tally> tallies = new HashMap<>();
    private final Histogram lateness = new Histogram(MAX_LATENCY_US, 3);
    private int poolSize; // 0: connections are opened on demand
    private int openConnections;
    private long startedNs;
    private long initialPeriodMs;
    private int nextNumber;
    private int inFlight;
    private boolean stopped;
    private Runnable onDrained = () -> {};
    private BooleanSupplier gatewayAlive = () -> true;

    /**
     * @param gateway the number of the gateway, which also starts the names of keys and requests
     * @param port the port of the gateway on 127.0.0.1
     * @param stalenessBound of reads, in tenths of a millisecond
     */
    public Clients(Vertx vertx, Ledger ledger, RandomGenerator random, String gateway, int port, long stalenessBound) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.random = random;
        this.gateway = gateway;
        this.port = port;
        this.stalenessBound = stalenessBound;
        net = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    /**
     * Sets how to find out whether the gateway process is alive. Requests in flight at a killed gateway are abandoned,
     * not resent under the same id.
     */
    public void setGatewayAlive(BooleanSupplier gatewayAlive) {
        this.gatewayAlive = gatewayAlive;
    }

    /**
     * Sets the size of the connection pool. Connections are opened up to this number and then used in turn, as
     * connection pools do. With 0, a connection is opened only when none is idle, and the most recently used one is
     * preferred.
     */
    public void setConnectionPoolSize(int connections) {
        poolSize = connections;
    }

    /** Returns by how much answers exceeded the timeout of their request, in microseconds; 0 for those within it. */
    public Histogram lateness() {
        return lateness;
    }

    /**
     * Starts to send requests.
     *
     * @param initialPeriodMs the period from now whose requests are also counted separately; see {@link #tally}
     */
    public void start(double requestsPerSecond, long initialPeriodMs) {
        startedNs = System.nanoTime();
        this.initialPeriodMs = initialPeriodMs;
        scheduleNext(requestsPerSecond);
    }

    private void scheduleNext(double requestsPerSecond) {
        long delayMs = Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond));
        vertx.setTimer(delayMs, x -> {
            if (!stopped) {
                boolean write = random.nextDouble() < WRITE_SHARE;
                send(write, gateway + "w" + nextNumber++, false);
                scheduleNext(requestsPerSecond);
            }
        });
    }

    /** Stops sending; runs the given action once no request is in flight. */
    public void stop(Runnable onDrained) {
        stopped = true;
        this.onDrained = onDrained;
        if (inFlight == 0) {
            onDrained.run();
        }
    }

    /** Returns the counts of the writes or the reads, either of the initial period only or of the whole run. */
    public Tally tally(boolean write, boolean initial) {
        return tallies.computeIfAbsent((write ? "w" : "r") + initial, x -> new Tally());
    }

    private void send(boolean write, String key, boolean retry) {
        Request request = new Request(write, key, gateway + "-" + nextNumber++, retry);
        inFlight++;
        for (Tally t : request.tallies) {
            t.requests += retry ? 0 : 1;
        }
        ClientConnection connection =
                poolSize == 0 ? idle.pollLast() : openConnections < poolSize ? null : idle.pollFirst();
        if (connection != null) {
            connection.write(request);
        } else {
            new ClientConnection(request);
        }
    }

    /** One request; a retry is a further one with a new id and the same key. */
    private final class Request {
        private final boolean write;
        private final String key;
        private final String id;
        private final boolean retry;
        private final long createdNs = System.nanoTime();
        private final Tally[] tallies;
        private long writtenNs;

        private Request(boolean write, String key, String id, boolean retry) {
            this.write = write;
            this.key = key;
            this.id = id;
            this.retry = retry;
            boolean initial = createdNs - startedNs < initialPeriodMs * 1_000_000;
            tallies =
                    initial ? new Tally[] {tally(write, true), tally(write, false)} : new Tally[] {tally(write, false)};
        }

        private long timeoutMs() {
            return write ? WRITE_TIMEOUT_MS : READ_TIMEOUT_MS;
        }

        private Buffer queryMessage() {
            String comment = " /* id=" + id + ",c=" + (write ? "put" : "view") + ",t=all,d=" + timeoutMs()
                    + ",cluster=0" + (retry ? ",r=1" : "") + " */";
            return MessageWriter.query((write
                            ? "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x00') RETURNING val"
                            : "SELECT val FROM state WHERE uid = '" + key + "'")
                    + comment);
        }

        private void complete(Answer answer) {
            long tookUs = (System.nanoTime() - writtenNs) / 1000;
            lateness.recordValue(Math.max(0, Math.min(MAX_LATENCY_US, tookUs - timeoutMs() * 1000)));
            ledger.answered(id, answer, Clock.system().now());
            for (Tally t : tallies) {
                t.succeeded += answer == Answer.SUCCEEDED ? 1 : 0;
                t.rejected += answer == Answer.REJECTED ? 1 : 0;
                t.failed += answer == Answer.FAILED ? 1 : 0;
                if (answer == Answer.SUCCEEDED) {
                    t.latency.recordValue(Math.min(MAX_LATENCY_US, (System.nanoTime() - createdNs) / 1000));
                }
            }
            finish();
            if (answer == Answer.REJECTED && !retry && !stopped) {
                vertx.setTimer(RETRY_DELAY_MS, x -> {
                    if (!stopped) {
                        send(write, key, true);
                    }
                });
            }
        }

        private void finish() {
            if (--inFlight == 0 && stopped) {
                onDrained.run();
            }
        }
    }

    /** One connection to the gateway, with at most one request in flight. */
    private final class ClientConnection {
        private final ServerMessageReader reader = new ServerMessageReader();
        private NetSocket socket;
        private boolean ready;
        private Request request;
        private Answer answer;

        private ClientConnection(Request first) {
            request = first;
            openConnections++;
            net.connect(port, "127.0.0.1").onComplete(r -> {
                if (r.failed()) {
                    openConnections--;
                    notAccepted(request);
                    return;
                }
                socket = r.result();
                socket.handler(this::onBytes);
                socket.exceptionHandler(e -> {});
                socket.closeHandler(x -> onClose());
                socket.write(MessageWriter.startup());
            });
        }

        private void write(Request next) {
            request = next;
            answer = null;
            long timeout = next.timeoutMs() * 10; // ticks
            next.writtenNs = System.nanoTime();
            long now = Clock.system().now();
            ledger.requestSent(
                    next.id,
                    new Ledger.RequestTraits(next.write, false, next.write ? 0 : stalenessBound),
                    next.key,
                    gateway,
                    now,
                    now + timeout);
            socket.write(next.queryMessage());
            vertx.setTimer(timeout / 10 + ABANDON_AFTER_TIMEOUT_MS, x -> {
                if (request == next) {
                    request = null;
                    next.finish();
                    socket.close();
                }
            });
        }

        private void onBytes(Buffer received) {
            reader.feed(received);
            for (ServerMessage m = reader.next(); m != null; m = reader.next()) {
                if (m instanceof ServerMessage.ReadyForQuery) {
                    if (!ready) {
                        ready = true;
                        write(request);
                    } else {
                        Request completed = request;
                        request = null;
                        idle.addLast(this);
                        completed.complete(answer == null ? Answer.FAILED : answer);
                    }
                } else if (m instanceof ServerMessage.CommandComplete) {
                    answer = Answer.SUCCEEDED;
                } else if (m instanceof ServerMessage.ErrorResponse error) {
                    answer = error.code().equals("53300") || error.code().equals("57P03")
                            ? Answer.REJECTED
                            : Answer.FAILED;
                }
            }
        }

        private void onClose() {
            openConnections--;
            idle.remove(this);
            Request interrupted = request;
            request = null;
            if (interrupted == null) {
                return;
            }
            if (!ready || answer != null) {
                if (ready) {
                    interrupted.complete(answer);
                } else {
                    notAccepted(interrupted); // the gateway refused the connection at its startup message
                }
            } else if (gatewayAlive.getAsBoolean()) {
                ledger.closedUnanswered(interrupted.id, Clock.system().now());
                // The query crossed the gateway's close on the wire: resend it on a new connection.
                new ClientConnection(interrupted);
            } else {
                notAccepted(interrupted);
            }
        }

        /**
         * Ends a request that no gateway accepted. This includes one that was written to a connection while the gateway
         * closed it; the gateway must not have forwarded that one to a server.
         */
        private void notAccepted(Request rejected) {
            ledger.crossedClose(rejected.id);
            rejected.finish();
        }
    }
}
