package ploverdale.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import java.net.BindException;
import java.net.InetSocketAddress;
import ploverdale.log.Log;
import ploverdale.net.client.ClientConnections;
import ploverdale.net.server.ConnectFailure;

/** Opens the socket on which clients connect. Used on the event loop only. */
final class ListeningSocket {
    private static final int MAX_ATTEMPTS = 50; // 5 s in total, half of the time that a restart may take
    private static final long RETRY_DELAY_MS = 100;
    private static final int ACCEPT_BACKLOG = 1024;

    private final Vertx vertx;
    private final Log log;
    private final ClientConnections clients;

    ListeningSocket(Vertx vertx, Log log, ClientConnections clients) {
        this.vertx = vertx;
        this.log = log;
        this.clients = clients;
    }

    /**
     * Listens on the address. Retries if this machine lacks descriptors or buffers, and fails if the address cannot be
     * used.
     */
    Future<NetServer> listen(InetSocketAddress address) {
        return listen(address, MAX_ATTEMPTS);
    }

    private Future<NetServer> listen(InetSocketAddress address, int attemptsLeft) {
        return vertx.createNetServer(new NetServerOptions()
                        .setTcpNoDelay(true)
                        .setReuseAddress(true)
                        .setAcceptBacklog(ACCEPT_BACKLOG))
                .connectHandler(clients::accept)
                .listen(address.getPort(), address.getAddress().getHostAddress())
                .recover(failure -> retry(address, attemptsLeft, failure));
    }

    private Future<NetServer> retry(InetSocketAddress address, int attemptsLeft, Throwable failure) {
        // The address is in use, not local, or not permitted; a retry would not help.
        boolean isAddressUnusable = failure instanceof BindException;
        if (attemptsLeft <= 1 || isAddressUnusable || ConnectFailure.of(failure) != ConnectFailure.LOCAL) {
            return Future.failedFuture(failure);
        }
        log.rateLimited("cannot listen yet", String.valueOf(failure.getMessage()));
        return vertx.timer(RETRY_DELAY_MS).compose(ignored -> listen(address, attemptsLeft - 1));
    }
}
