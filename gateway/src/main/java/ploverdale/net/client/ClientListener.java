package ploverdale.net.client;

import io.vertx.core.net.NetSocket;
import ploverdale.net.eventloop.NioSockets;

/** Accepts connections of clients, in the place of others if need be, or refuses them. Used on the event loop only. */
final class ClientListener {
    /** For the startup message of a connection that is refused. */
    private static final long REFUSED_STARTUP_WAIT_MS = 100;

    private final ClientRuntime runtime;

    ClientListener(ClientRuntime runtime) {
        this.runtime = runtime;
    }

    /** Takes over a connection that the operating system has accepted. */
    void accept(NetSocket socket) {
        if (runtime.status().isReadingStopped()) {
            NioSockets.stopReading(socket); // the process exits in a moment
            return;
        }
        runtime.evictor().makeRoomForClient();
        if (runtime.limits().clientFits()) {
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
                        "of a client, " + runtime.limits().clients() + " of clients");
        runtime.limits().turnedAway();
        socket.exceptionHandler(failure -> {});
        boolean descriptorsShort = runtime.limits().over() > 0;
        RefusedConnection refused =
                new RefusedConnection(socket, runtime.cancels()::cancel, () -> lingeringClose.close(socket));
        socket.closeHandler(closed -> {
            refused.onClosed();
            lingeringClose.onClosed(socket);
        });
        refused.refuseWithin(descriptorsShort ? 0 : REFUSED_STARTUP_WAIT_MS, runtime.vertx());
    }
}
