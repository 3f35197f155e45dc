package ploverdale.tools.stand;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import ploverdale.clock.Clock;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.net.postgres.ServerMessageReader;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.ledger.Ledger.Answer;

/**
 * Clients with sessions that roam: each op of a session goes to any gateway, a read of it must reach its last acked write, and
 * a write without an ack may be submitted again under its id, elsewhere. One op of a session at a time, a connection each.
 */
public final class RoamingClients {
    /**
     * How they ask.
     *
     * @param sessions how many there are
     * @param perSecond ops of all
     * @param submitsAgain whether a write that was not acked is submitted again under its id
     */
    public record Habit(int sessions, double perSecond, boolean submitsAgain) {}

    private static final double WRITES = 0.4;
    private static final int WAITS_MS = 900;
    private static final int AGAIN_MOST = 3;
    private static final long GIVES_UP_AFTER_MS = 400; // past its time

    private final Vertx vertx;
    private final Ledger ledger;
    private final RandomGenerator random;
    private final List<Integer> ports;
    private final Habit habit;
    private final NetClient net;
    private final Set<Integer> busy = new HashSet<>(); // sessions with an op out
    private final Set<Integer> seen = new HashSet<>();
    private final Histogram writes = new Histogram(60_000_000, 3); // of the acked, in microseconds
    private final Histogram reads = new Histogram(60_000_000, 3);
    private int names;
    private int asked;
    private int again;
    private boolean stopped;

    /** @param ports of the gateways, by number */
    public RoamingClients(Vertx vertx, Ledger ledger, RandomGenerator random, List<Integer> ports, Habit habit) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.random = random;
        this.ports = ports;
        this.habit = habit;
        net = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    public void start() {
        vertx.setTimer(Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1000 / habit.perSecond())), x -> {
            if (!stopped) {
                int session = random.nextInt(habit.sessions());
                if (busy.add(session)) {
                    seen.add(session);
                    new Ask(session, random.nextDouble() < WRITES, "roam-" + names++, 0).begins();
                }
                start();
            }
        });
    }

    public void stop() {
        stopped = true;
    }

    /** Sessions that asked anything. */
    public int sessions() {
        return seen.size();
    }

    public int asked() {
        return asked;
    }

    /** Submits of a write that was submitted before. */
    public int submittedAgain() {
        return again;
    }

    /** Of acked writes, in microseconds. */
    public Histogram writes() {
        return writes;
    }

    /** Of acked reads. */
    public Histogram reads() {
        return reads;
    }

    private final class Ask {
        private final int session;
        private final boolean write;
        private final String id;
        private final int times;
        private final int gateway = random.nextInt(ports.size());
        private final long at = System.nanoTime();
        private final ServerMessageReader stream = new ServerMessageReader();
        private boolean taken;
        private boolean over;
        private Answer answer;

        private Ask(int session, boolean write, String id, int times) {
            this.session = session;
            this.write = write;
            this.id = id;
            this.times = times;
        }

        private void begins() {
            net.connect(ports.get(gateway), "127.0.0.1").onComplete(r -> {
                if (r.failed()) {
                    ends(null);
                    return;
                }
                NetSocket socket = r.result();
                boolean[] up = {false};
                socket.exceptionHandler(e -> {});
                socket.closeHandler(x -> ends(null));
                socket.handler(more -> {
                    stream.feed(more);
                    for (ServerMessage m = stream.next(); m != null; m = stream.next()) {
                        if (m instanceof ServerMessage.ReadyForQuery && !up[0]) {
                            up[0] = true;
                            asks(socket);
                        } else if (m instanceof ServerMessage.ReadyForQuery) {
                            ends(answer == null ? Answer.FAILED : answer);
                            socket.close();
                        } else if (m instanceof ServerMessage.CommandComplete) {
                            answer = Answer.SUCCEEDED;
                        } else if (m instanceof ServerMessage.ErrorResponse p) {
                            answer = p.code().equals("53300") || p.code().equals("57P03")
                                    ? Answer.REJECTED
                                    : Answer.FAILED;
                        }
                    }
                });
                socket.write(MessageWriter.startup());
                vertx.setTimer(WAITS_MS + GIVES_UP_AFTER_MS, x -> {
                    ends(null);
                    socket.close();
                });
            });
        }

        private void asks(NetSocket socket) {
            long now = Clock.system().now();
            taken = true;
            asked++;
            if (times == 0) {
                ledger.requestSent(
                        id,
                        new Ledger.RequestTraits(write, false, 0),
                        id,
                        Integer.toString(gateway),
                        now,
                        now + WAITS_MS * 10L);
                ledger.inSession(id, "s" + session);
            } else {
                again++;
                ledger.requestResent(id, Integer.toString(gateway), now, now + WAITS_MS * 10L);
            }
            String comment = " /* id=" + id + ",c=" + (write ? "put" : "mine") + ",t=all,d=" + WAITS_MS + ",cluster=0"
                    + (times > 0 ? ",r=1" : "") + " */";
            socket.write(MessageWriter.query((write
                            ? "INSERT INTO state (uid, val) VALUES ('s" + session + "', '\\x00') RETURNING val"
                            : "SELECT val FROM state WHERE uid = 's" + session + "'")
                    + comment));
        }

        private void ends(Answer how) {
            if (over) {
                return;
            }
            over = true;
            if (taken && how != null) {
                ledger.answered(id, how, Clock.system().now());
            } else if (taken) {
                ledger.clientLeft(id);
            }
            if (how == Answer.SUCCEEDED) {
                (write ? writes : reads).recordValue(Math.min(60_000_000, (System.nanoTime() - at) / 1000));
            }
            boolean oncemore =
                    write && habit.submitsAgain() && taken && how != Answer.SUCCEEDED && times < AGAIN_MOST && !stopped;
            if (oncemore) {
                vertx.setTimer(1 + random.nextInt(60), x -> new Ask(session, true, id, times + 1).begins());
            } else {
                busy.remove(session);
            }
        }
    }
}
