package ploverdale.tools.stand;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.random.RandomGenerator;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.ledger.Ledger.Answer;

/**
 * Clients that send a write, leave before it is answered, and send it again under the same id on another connection. The
 * write must not run twice. Used on one event loop.
 */
public final class LeavingClients extends SingleRequestClients {
    private static final int CLIENTS_PER_GATEWAY = 8;
    private static final int TIMEOUT_MS = 900;
    private static final int GIVE_UP_AFTER_MS = 1500;

    /** How long a client stays connected before it sends its write, at most. */
    private static final int MAX_IDLE_MS = 400;

    /** The time from a write to the close of its connection, and from there to the same write again, at most. */
    private static final int MAX_STEP_MS = 25;

    private int nextNumber;

    /** @param ports where the gateways accept clients on 127.0.0.1, by number */
    public LeavingClients(Vertx vertx, Ledger ledger, RandomGenerator random, List<Integer> ports) {
        super(vertx, ledger, random, ports);
    }

    @Override
    public void start() {
        for (int gateway = 0; gateway < gateways(); gateway++) {
            for (int client = 0; client < CLIENTS_PER_GATEWAY; client++) {
                new RepeatedWrite(gateway).open();
            }
        }
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
            LeavingClients.this.open(gateway, GIVE_UP_AFTER_MS, new SingleRequestConnection.Listener() {
                @Override
                public void onReady(SingleRequestConnection connection) {
                    afterAtMost(MAX_IDLE_MS, () -> sendAndLeave(connection));
                }

                @Override
                public void onEnded(Answer answer) {
                    if (sent) {
                        recordAnswer(id, answer);
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
            recordSent(id, true, gateway, TIMEOUT_MS);
            sent = true;
            connection.send(query());
            afterAtMost(MAX_STEP_MS, () -> leave(connection));
        }

        private void leave(SingleRequestConnection connection) {
            if (connection.isReady()) {
                connection.close();
                recordAnswer(id, null);
                afterAtMost(MAX_STEP_MS, this::sendAgain);
            }
        }

        /** Sends the write again, right behind the startup message. */
        private void sendAgain() {
            LeavingClients.this.open(gateway, GIVE_UP_AFTER_MS, new SingleRequestConnection.Listener() {
                private boolean sentAgain;

                @Override
                public void onConnected(SingleRequestConnection connection) {
                    recordResent(id, gateway, TIMEOUT_MS);
                    sentAgain = true;
                    connection.send(query());
                }

                @Override
                public void onEnded(Answer answer) {
                    if (sentAgain) {
                        recordAnswer(id, answer);
                    }
                    next();
                }
            });
        }

        private void next() {
            if (!isStopped()) {
                afterAtMost(MAX_IDLE_MS, () -> new RepeatedWrite(gateway).open());
            }
        }

        private Buffer query() {
            return MessageWriter.query("INSERT INTO state (uid, val) VALUES ('" + id
                    + "', '\\x00') RETURNING val /* id=" + id + ",c=put,t=all,d=" + TIMEOUT_MS + ",cluster=0 */");
        }
    }
}
