package ploverdale.tools.stand;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.List;
import java.util.random.RandomGenerator;
import ploverdale.clock.Clock;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.ledger.Ledger.Answer;

/**
 * Clients that send a write, leave before it is answered, and send it again under the same id on another connection. The
 * write must not run twice. Used on one event loop.
 */
public final class LeavingClients implements BackgroundClients {
    private static final int CLIENTS_PER_GATEWAY = 8;
    private static final int TIMEOUT_MS = 900;
    private static final int GIVE_UP_AFTER_MS = 1500;

    /** How long a client stays connected before it sends its write, at most. */
    private static final int MAX_IDLE_MS = 400;

    /** The time from a write to the close of its connection, and from there to the same write again, at most. */
    private static final int MAX_STEP_MS = 25;

    private final Vertx vertx;
    private final Ledger ledger;
    private final RandomGenerator random;
    private final List<Integer> ports;
    private final NetClient net;
    private int nextNumber;
    private boolean stopped;

    /** @param ports where the gateways accept clients on 127.0.0.1, by number */
    public LeavingClients(Vertx vertx, Ledger ledger, RandomGenerator random, List<Integer> ports) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.random = random;
        this.ports = ports;
        net = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    @Override
    public void start() {
        for (int gateway = 0; gateway < ports.size(); gateway++) {
            for (int client = 0; client < CLIENTS_PER_GATEWAY; client++) {
                new RepeatedWrite(gateway).open();
            }
        }
    }

    @Override
    public void stop() {
        stopped = true;
    }

    private void afterAtMost(int maxMs, Runnable action) {
        vertx.setTimer(random.nextInt(1, maxMs), timer -> action.run());
    }

    /** One write, which is sent twice; the next one follows it. */
    private final class RepeatedWrite {
        private final int gateway;
        private final String id = "leaving-" + nextNumber++;
        private boolean sent;

        private RepeatedWrite(int gateway) {
            this.gateway = gateway;
        }

        private void open() {
            connect(new SingleRequestConnection.Listener() {
                @Override
                public void onReady(SingleRequestConnection connection) {
                    afterAtMost(MAX_IDLE_MS, () -> sendAndLeave(connection));
                }

                @Override
                public void onEnded(Answer answer) {
                    if (sent) {
                        recordAnswer(answer);
                        afterAtMost(MAX_STEP_MS, RepeatedWrite.this::sendAgain);
                    } else {
                        next();
                    }
                }
            });
        }

        private void sendAndLeave(SingleRequestConnection connection) {
            if (!connection.isReady()) {
                return; // it has ended meanwhile
            }
            long now = Clock.system().now();
            ledger.requestSent(id, new Ledger.RequestTraits(true, false, 0), id, gatewayName(), now, timeoutAt(now));
            sent = true;
            connection.send(query());
            afterAtMost(MAX_STEP_MS, () -> leave(connection));
        }

        private void leave(SingleRequestConnection connection) {
            if (connection.isReady()) {
                connection.close();
                ledger.clientLeft(id);
                afterAtMost(MAX_STEP_MS, this::sendAgain);
            }
        }

        /** Sends the write again, right behind the startup message. */
        private void sendAgain() {
            connect(new SingleRequestConnection.Listener() {
                private boolean sentAgain;

                @Override
                public void onConnected(SingleRequestConnection connection) {
                    long now = Clock.system().now();
                    ledger.requestResent(id, gatewayName(), now, timeoutAt(now));
                    sentAgain = true;
                    connection.send(query());
                }

                @Override
                public void onEnded(Answer answer) {
                    if (sentAgain) {
                        recordAnswer(answer);
                    }
                    next();
                }
            });
        }

        private void connect(SingleRequestConnection.Listener listener) {
            SingleRequestConnection connection = SingleRequestConnection.open(net, ports.get(gateway), listener);
            vertx.setTimer(GIVE_UP_AFTER_MS, timer -> connection.giveUp());
        }

        private void recordAnswer(Answer answer) {
            if (answer == null) {
                ledger.clientLeft(id);
            } else {
                ledger.answered(id, answer, Clock.system().now());
            }
        }

        private void next() {
            if (!stopped) {
                afterAtMost(MAX_IDLE_MS, () -> new RepeatedWrite(gateway).open());
            }
        }

        private String gatewayName() {
            return Integer.toString(gateway);
        }

        private static long timeoutAt(long now) {
            return now + TIMEOUT_MS * 10L;
        }

        private Buffer query() {
            return MessageWriter.query("INSERT INTO state (uid, val) VALUES ('" + id
                    + "', '\\x00') RETURNING val /* id=" + id + ",c=put,t=all,d=" + TIMEOUT_MS + ",cluster=0 */");
        }
    }
}
