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
 * Clients of one gateway: ops at a rate, by chance, a connection each while it is out; a busy reply is tried once more,
 * under a fresh id, after a wait. What is asked, and what came of it, is counted, that of a stated first time on its own.
 */
public final class Clients {
    /** What came of the ops of one kind. */
    public static final class Tally {
        private int asked;
        private int acked;
        private int busy;
        private int errored;
        private final Histogram latency = new Histogram(LONGEST_US, 3); // of the acked, in microseconds

        public int asked() {
            return asked;
        }

        public int acked() {
            return acked;
        }

        public int busy() {
            return busy;
        }

        public int errored() {
            return errored;
        }

        public Histogram latency() {
            return latency;
        }
    }

    /** No time is recorded as longer, in microseconds. */
    public static final long LONGEST_US = 60_000_000;

    private static final long AGAIN_MS = 40;
    private static final long GIVES_UP_AFTER_MS = 1000; // past its time; the ledger tells what that breaks
    private static final int WRITE_WAITS_MS = 1500;
    private static final int READ_WAITS_MS = 800;
    private static final double WRITES = 0.35;

    private final Vertx vertx;
    private final Ledger ledger;
    private final RandomGenerator random;
    private final String gateway;
    private final int port;
    private final long bound;
    private final NetClient net;
    private final Deque<Conn> idle = new ArrayDeque<>();
    private final Map<String, Tally> tallies = new HashMap<>();
    private final Histogram late = new Histogram(LONGEST_US, 3);
    private int held; // connections that are to be held; see holds
    private int open;
    private long startedAt;
    private long first;
    private int names;
    private int out;
    private boolean stopped;
    private Runnable drained = () -> {};
    private BooleanSupplier alive = () -> true;

    /** @param bound of reads, in tenths of a millisecond */
    public Clients(Vertx vertx, Ledger ledger, RandomGenerator random, String gateway, int port, long bound) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.random = random;
        this.gateway = gateway;
        this.port = port;
        this.bound = bound;
        net = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    /** Whether its process lives; what one that was killed held is over, and not asked once more under the same id. */
    public void gatewayIs(BooleanSupplier alive) {
        this.alive = alive;
    }

    /** Opens up to so many connections and uses them in turn, as clients with pools do; 0: as few as serve, the last first. */
    public void holds(int connections) {
        held = connections;
    }

    /** By how much answers came after their time, 0 for those in time, in microseconds. */
    public Histogram late() {
        return late;
    }

    /** Asks so many ops a second from now on; the first ones are those of so many milliseconds. */
    public void start(double perSecond, long firstMs) {
        startedAt = System.nanoTime();
        first = firstMs;
        next(perSecond);
    }

    private void next(double perSecond) {
        long wait = Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1000 / perSecond));
        vertx.setTimer(wait, x -> {
            if (!stopped) {
                boolean write = random.nextDouble() < WRITES;
                ask(write, gateway + "w" + names++, false);
                next(perSecond);
            }
        });
    }

    /** Asks no more; then runs this once all answers are there. */
    public void stop(Runnable whenDrained) {
        stopped = true;
        drained = whenDrained;
        if (out == 0) {
            drained.run();
        }
    }

    /** Of the writes or reads asked in the first second, or of all. */
    public Tally tally(boolean write, boolean first) {
        return tallies.computeIfAbsent((write ? "w" : "r") + first, x -> new Tally());
    }

    private void ask(boolean write, String name, boolean again) {
        Ask a = new Ask(write, name, gateway + "-" + names++, again);
        out++;
        for (Tally t : a.counted) {
            t.asked += again ? 0 : 1;
        }
        Conn c = held == 0 ? idle.pollLast() : open < held ? null : idle.pollFirst();
        if (c != null) {
            c.write(a);
        } else {
            new Conn(a);
        }
    }

    private final class Ask {
        private final boolean write;
        private final String name;
        private final String id;
        private final boolean again;
        private final long at = System.nanoTime();
        private final Tally[] counted;
        private long writtenAt;

        private Ask(boolean write, String name, String id, boolean again) {
            this.write = write;
            this.name = name;
            this.id = id;
            this.again = again;
            boolean first = at - startedAt < Clients.this.first * 1_000_000;
            counted = first ? new Tally[] {tally(write, true), tally(write, false)} : new Tally[] {tally(write, false)};
        }

        private long waitsMs() {
            return write ? WRITE_WAITS_MS : READ_WAITS_MS;
        }

        private Buffer text() {
            String comment = " /* id=" + id + ",c=" + (write ? "put" : "view") + ",t=all,d=" + waitsMs() + ",cluster=0"
                    + (again ? ",r=1" : "") + " */";
            return MessageWriter.query((write
                            ? "INSERT INTO state (uid, val) VALUES ('" + name + "', '\\x00') RETURNING val"
                            : "SELECT val FROM state WHERE uid = '" + name + "'")
                    + comment);
        }

        private void ended(Answer answer) {
            long tookUs = (System.nanoTime() - writtenAt) / 1000;
            late.recordValue(Math.max(0, Math.min(LONGEST_US, tookUs - waitsMs() * 1000)));
            ledger.answered(id, answer, Clock.system().now());
            for (Tally t : counted) {
                t.acked += answer == Answer.SUCCEEDED ? 1 : 0;
                t.busy += answer == Answer.REJECTED ? 1 : 0;
                t.errored += answer == Answer.FAILED ? 1 : 0;
                if (answer == Answer.SUCCEEDED) {
                    t.latency.recordValue(Math.min(LONGEST_US, (System.nanoTime() - at) / 1000));
                }
            }
            over();
            if (answer == Answer.REJECTED && !again && !stopped) {
                vertx.setTimer(AGAIN_MS, x -> {
                    if (!stopped) {
                        ask(write, name, true);
                    }
                });
            }
        }

        private void over() {
            if (--out == 0 && stopped) {
                drained.run();
            }
        }
    }

    private final class Conn {
        private final ServerMessageReader stream = new ServerMessageReader();
        private NetSocket socket;
        private boolean up;
        private Ask ask;
        private Answer answer;

        private Conn(Ask first) {
            ask = first;
            open++;
            net.connect(port, "127.0.0.1").onComplete(r -> {
                if (r.failed()) {
                    open--;
                    neverTaken(ask);
                    return;
                }
                socket = r.result();
                socket.handler(this::bytes);
                socket.exceptionHandler(e -> {});
                socket.closeHandler(x -> closed());
                socket.write(MessageWriter.startup());
            });
        }

        private void write(Ask a) {
            ask = a;
            answer = null;
            long waits = a.waitsMs() * 10;
            a.writtenAt = System.nanoTime();
            long now = Clock.system().now();
            ledger.requestSent(
                    a.id,
                    new Ledger.RequestTraits(a.write, false, a.write ? 0 : bound),
                    a.name,
                    gateway,
                    now,
                    now + waits);
            socket.write(a.text());
            vertx.setTimer(waits / 10 + GIVES_UP_AFTER_MS, x -> {
                if (ask == a) {
                    ask = null;
                    a.over();
                    socket.close();
                }
            });
        }

        private void bytes(Buffer more) {
            stream.feed(more);
            for (ServerMessage m = stream.next(); m != null; m = stream.next()) {
                if (m instanceof ServerMessage.ReadyForQuery) {
                    if (!up) {
                        up = true;
                        write(ask);
                    } else {
                        Ask done = ask;
                        ask = null;
                        idle.addLast(this);
                        done.ended(answer == null ? Answer.FAILED : answer);
                    }
                } else if (m instanceof ServerMessage.CommandComplete) {
                    answer = Answer.SUCCEEDED;
                } else if (m instanceof ServerMessage.ErrorResponse p) {
                    answer = p.code().equals("53300") || p.code().equals("57P03") ? Answer.REJECTED : Answer.FAILED;
                }
            }
        }

        private void closed() {
            open--;
            idle.remove(this);
            Ask a = ask;
            ask = null;
            if (a == null) {
                return;
            }
            if (!up || answer != null) {
                if (up) {
                    a.ended(answer);
                } else {
                    neverTaken(a); // turned away at the greeting
                }
            } else if (alive.getAsBoolean()) {
                ledger.closedUnanswered(a.id, Clock.system().now());
                new Conn(a); // it crossed the gateway's close: once more, on a new connection
            } else {
                neverTaken(a);
            }
        }

        /** Also where it was written before, on a connection that was being ended: then it must not have been sent on. */
        private void neverTaken(Ask a) {
            ledger.crossedClose(a.id);
            a.over();
        }
    }
}
