package ploverdale.tools.stand;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.List;
import java.util.random.RandomGenerator;
import ploverdale.clock.Clock;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.ledger.Ledger.Answer;

/** Background clients that send each request on a connection of its own. Used on one event loop. */
abstract class SingleRequestClients implements BackgroundClients {
    private static final long TICKS_PER_MS = 10;

    private final Vertx vertx;
    private final Ledger ledger;
    private final RandomGenerator random;
    private final List<Integer> ports;
    private final NetClient net;
    private boolean stopped;

    /** @param ports where the gateways accept clients on 127.0.0.1, by number */
    SingleRequestClients(Vertx vertx, Ledger ledger, RandomGenerator random, List<Integer> ports) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.random = random;
        this.ports = ports;
        net = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    @Override
    public final void stop() {
        stopped = true;
    }

    final boolean isStopped() {
        return stopped;
    }

    final RandomGenerator random() {
        return random;
    }

    final int gateways() {
        return ports.size();
    }

    /** Runs the action after this time, in milliseconds. */
    final void after(long ms, Runnable action) {
        vertx.setTimer(ms, timer -> action.run());
    }

    /** Runs the action after a random time of less than this, in milliseconds. */
    final void afterAtMost(int maxMs, Runnable action) {
        after(random.nextInt(1, maxMs), action);
    }

    /** Connects to a gateway, for at most this time in milliseconds. */
    final void open(int gateway, long giveUpAfterMs, SingleRequestConnection.Listener listener) {
        SingleRequestConnection connection = SingleRequestConnection.open(net, ports.get(gateway), listener);
        after(giveUpAfterMs, connection::giveUp);
    }

    /** Records that a request is sent for the first time. A write has the name of its request. */
    final void recordSent(String id, boolean write, int gateway, long timeoutMs) {
        long now = Clock.system().now();
        Ledger.RequestTraits traits = new Ledger.RequestTraits(write, false, 0);
        ledger.requestSent(id, traits, id, Integer.toString(gateway), now, now + timeoutMs * TICKS_PER_MS);
    }

    /** Records that a request is sent again under its id. */
    final void recordResent(String id, int gateway, long timeoutMs) {
        long now = Clock.system().now();
        ledger.requestResent(id, Integer.toString(gateway), now, now + timeoutMs * TICKS_PER_MS);
    }

    /** Records that a request that was sent belongs to a session. */
    final void recordSession(String id, String session) {
        ledger.inSession(id, session);
    }

    /**
     * Records the answer to a request that was sent.
     *
     * @param answer null if the connection has ended without one
     */
    final void recordAnswer(String id, Answer answer) {
        if (answer == null) {
            ledger.clientLeft(id);
        } else {
            ledger.answered(id, answer, Clock.system().now());
        }
    }
}
