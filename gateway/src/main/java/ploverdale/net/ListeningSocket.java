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
    private static final int MAX_ATTEMPTS = 50; // 5 s, half of what a restart may take
    private static final long RETRY_AFTER_MS = 100;
    private static final int ACCEPT_BACKLOG = 1024;

    private final Vertx vertx;
    private final Log log;
    private final ClientConnections clients;

    ListeningSocket(Vertx vertx, Log log, ClientConnections clients) {
        this.vertx = vertx;
        this.log = log;
        this.clients = clients;
    }

    /** Listens; retries where this machine lacks descriptors or buffers, and fails where the address cannot be used. */
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
        // The address is in use, not this machine's, or not allowed: a retry would not help.
        boolean addressAtFault = failure instanceof BindException;
        if (attemptsLeft <= 1 || addressAtFault || ConnectFailure.of(failure) != ConnectFailure.LOCAL) {
            return Future.failedFuture(failure);
        }
        log.rateLimited("cannot listen yet", String.valueOf(failure.getMessage()));
        return vertx.timer(RETRY_AFTER_MS).compose(ignored -> listen(address, attemptsLeft - 1));
    }
}
