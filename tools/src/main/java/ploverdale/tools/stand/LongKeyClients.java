package ploverdale.tools.stand;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.random.RandomGenerator;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.ledger.Ledger.Answer;

/**
 * Clients that write one after the other, each write with a new key and on a new connection. Keys are up to nearly as long
 * as a message may be. Used on one event loop.
 */
public final class LongKeyClients extends SingleRequestClients {
    private static final int CLIENTS_PER_GATEWAY = 8;
    private static final int TIMEOUT_MS = 1500;
    private static final int GIVE_UP_AFTER_MS = 2000;
    private static final int MIN_KEY_LENGTH = 8;
    private static final int MAX_KEY_LENGTH = 60_000;

    /** The time from the end of a connection without an answer to the next connection. */
    private static final long RECONNECT_MS = 50;

    private int nextNumber;

    /** @param ports where the gateways accept clients on 127.0.0.1, by number */
    public LongKeyClients(Vertx vertx, Ledger ledger, RandomGenerator random, List<Integer> ports) {
        super(vertx, ledger, random, ports);
    }

    @Override
    public void start() {
        for (int gateway = 0; gateway < gateways(); gateway++) {
            for (int client = 0; client < CLIENTS_PER_GATEWAY; client++) {
                new Write(gateway).connect();
            }
        }
    }

    /** One write; the next one follows its answer. */
    private final class Write implements SingleRequestConnection.Listener {
        private final int gateway;
        private final String id = "long-" + nextNumber++;
        private boolean sent;

        private Write(int gateway) {
            this.gateway = gateway;
        }

        private void connect() {
            open(gateway, GIVE_UP_AFTER_MS, this);
        }

        @Override
        public void onReady(SingleRequestConnection connection) {
            recordSent(id, true, gateway, TIMEOUT_MS);
            sent = true;
            connection.send(query());
        }

        private Buffer query() {
            String key = id + "k".repeat(random().nextInt(MIN_KEY_LENGTH, MAX_KEY_LENGTH));
            return MessageWriter.query("INSERT INTO state (uid, val) VALUES ('" + key
                    + "', '\\x00') RETURNING val /* id=" + id + ",c=put,t=all,d=" + TIMEOUT_MS + ",cluster=0 */");
        }

        @Override
        public void onEnded(Answer answer) {
            if (sent) {
                recordAnswer(id, answer);
            }
            if (!isStopped()) {
                after(answer == null ? RECONNECT_MS : 1, () -> new Write(gateway).connect());
            }
        }
    }
}
