package ploverdale.tools.stand;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.random.RandomGenerator;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.ledger.Ledger.Answer;

/**
 * Sessions that have several writes open at a time, each on a connection of its own, and read when one is acknowledged.
 * Acknowledgements may arrive in another order than that of the commits; each read must see all writes that had succeeded
 * by then. Used on one event loop.
 */
public final class OverlappingWrites extends SingleRequestClients {
    private static final int SESSIONS = 16;
    private static final int MAX_WRITES = 3;
    private static final int MAX_BETWEEN_WRITES_MS = 60;

    /** The time from an acknowledgement to the read that follows it, at most. */
    private static final int MAX_BEFORE_READ_MS = 30;

    private static final int MAX_BETWEEN_ROUNDS_MS = 400;
    private static final int TIMEOUT_MS = 900;
    private static final int GIVE_UP_AFTER_MS = 1300;

    private int nextNumber;

    /** @param ports where the gateways accept clients on 127.0.0.1, by number */
    public OverlappingWrites(Vertx vertx, Ledger ledger, RandomGenerator random, List<Integer> ports) {
        super(vertx, ledger, random, ports);
    }

    @Override
    public void start() {
        for (int i = 0; i < SESSIONS; i++) {
            String session = "overlap" + i;
            afterAtMost(MAX_BETWEEN_ROUNDS_MS, () -> new Round(session).start());
        }
    }

    /** Some writes of a session and the reads that follow them; the next round begins after the last of them. */
    private final class Round {
        private final String session;
        private int open;

        private Round(String session) {
            this.session = session;
        }

        private void start() {
            int writes = random().nextInt(1, MAX_WRITES + 1);
            for (int i = 0; i < writes; i++) {
                open++;
                afterAtMost((i + 1) * MAX_BETWEEN_WRITES_MS, () -> new Request(this, true).connect());
            }
        }

        private void onEnded(boolean write, Answer answer) {
            if (write && answer == Answer.SUCCEEDED) {
                afterAtMost(MAX_BEFORE_READ_MS, () -> new Request(this, false).connect());
                return;
            }
            open--;
            if (open == 0 && !isStopped()) {
                afterAtMost(MAX_BETWEEN_ROUNDS_MS, () -> new Round(session).start());
            }
        }
    }

    /** One request, on a connection of its own. */
    private final class Request implements SingleRequestConnection.Listener {
        private final Round round;
        private final boolean write;
        private final int gateway = random().nextInt(gateways());
        private final String id = "overlap-" + nextNumber++;
        private boolean sent;

        private Request(Round round, boolean write) {
            this.round = round;
            this.write = write;
        }

        private void connect() {
            open(gateway, GIVE_UP_AFTER_MS, this);
        }

        @Override
        public void onReady(SingleRequestConnection connection) {
            recordSent(id, write, gateway, TIMEOUT_MS);
            recordSession(id, round.session);
            sent = true;
            connection.send(query());
        }

        private Buffer query() {
            String statement = write
                    ? "INSERT INTO state (uid, val) VALUES ('" + round.session + "', '\\x00') RETURNING val"
                    : "SELECT val FROM state WHERE uid = '" + round.session + "'";
            return MessageWriter.query(statement + " /* id=" + id + ",c=" + (write ? "put" : "mine") + ",t=all,d="
                    + TIMEOUT_MS + ",cluster=0 */");
        }

        @Override
        public void onEnded(Answer answer) {
            if (sent) {
                recordAnswer(id, answer);
            }
            round.onEnded(write, answer);
        }
    }
}
