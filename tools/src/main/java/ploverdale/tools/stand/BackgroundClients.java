package ploverdale.tools.stand;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.random.RandomGenerator;
import ploverdale.tools.ledger.Ledger;

/** Clients that send requests beside those that stay with their gateway. Used on one event loop. */
public interface BackgroundClients {
    /** Creates the clients of a run. */
    @FunctionalInterface
    interface Factory {
        /**
         * Creates clients that have not started.
         *
         * @param ports where the gateways accept clients on 127.0.0.1, by number
         */
        BackgroundClients create(Vertx vertx, Ledger ledger, RandomGenerator random, List<Integer> ports);
    }

    /** Starts to send requests, until {@link #stop}. */
    void start();

    /** Sends no further requests. */
    void stop();
}
