package ploverdale.net.client;

import io.vertx.core.net.NetSocket;
import ploverdale.net.eventloop.NioSockets;

/** Accepts client connections, evicting other clients if necessary, or refuses them. Used on the event loop only. */
final class ClientListener {
    /** How long a refused connection waits for the client's startup message. */
    private static final long REFUSED_STARTUP_WAIT_MS = 100;

    private final ClientRuntime runtime;

    ClientListener(ClientRuntime runtime) {
        this.runtime = runtime;
    }

    /** Accepts or refuses a connection that the operating system has accepted. */
    void accept(NetSocket socket) {
        if (runtime.status().isReadingStopped()) {
            NioSockets.stopReading(socket); // the process is about to exit
            return;
        }
        NioSockets.limitReads(socket);
        runtime.evictor().evictForNewClient();
        if (runtime.limits().hasCapacityForClient()) {
            ClientSession.open(runtime, socket);
        } else {
            refuse(socket);
        }
    }

    private void refuse(NetSocket socket) {
        LingeringClose lingeringClose = runtime.lingeringClose();
        runtime.log()
                .rateLimited(
                        "no room for a connection",
                        "of a client, " + runtime.limits().clientConnections() + " of clients");
        runtime.limits().onClientRefused();
        socket.exceptionHandler(failure -> {});
        NioSockets.limitReadsToOne(socket);
        boolean descriptorsShort = runtime.limits().excessConnections() > 0;
        RefusedConnection refused = new RefusedConnection(
                runtime.vertx(), socket, runtime.cancels()::cancel, () -> lingeringClose.close(socket));
        socket.closeHandler(closed -> {
            refused.onClosed();
            lingeringClose.onClosed(socket);
        });
        refused.refuseWithin(descriptorsShort ? 0 : REFUSED_STARTUP_WAIT_MS);
    }
}
