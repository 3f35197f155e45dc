package ploverdale.net.client;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;
import ploverdale.net.eventloop.NioSockets;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.ClientMessageReader;

/**
 * A client's connection that there is no capacity for. Waits a moment for the startup message, since requests may come right
 * behind it, and then rejects the startup and each of the requests by an error of its own. Must never forward anything, nor
 * close over what it has read without an answer. Used on the event loop only; it is refused at most once.
 */
final class RefusedConnection {
    /** Requests behind the startup message that are answered one by one. */
    private static final int MAX_REQUESTS_ANSWERED = 1000;

    private static final String ENCRYPTION_NOT_SUPPORTED = "N";

    private final NetSocket socket;
    private final Consumer<ClientMessage.CancelRequest> cancelHandler;
    private final Runnable closer;
    private final ClientMessageReader reader = new ClientMessageReader();
    private boolean finished;

    /**
     * @param cancelHandler takes a cancel message, which needs no capacity
     * @param closer closes the connection gracefully, once all is written
     */
    RefusedConnection(NetSocket socket, Consumer<ClientMessage.CancelRequest> cancelHandler, Runnable closer) {
        this.socket = socket;
        this.cancelHandler = cancelHandler;
        this.closer = closer;
    }

    /** Refuses it once its startup message has come, or after this time. */
    void refuseWithin(long waitMs, Vertx vertx) {
        socket.handler(this::onBytes);
        if (waitMs == 0) {
            NioSockets.readNow(socket); // what is there already is answered request by request
            refuse(0);
        } else {
            vertx.setTimer(waitMs, timer -> refuse(0));
        }
    }

    /** Its client has closed it; nothing is to be done any more. */
    void onClosed() {
        finished = true;
    }

    private void onBytes(Buffer bytes) {
        reader.feed(bytes);
        ClientMessage first = reader.next();
        while (first instanceof ClientMessage.EncryptionRequest) {
            socket.write(Buffer.buffer(ENCRYPTION_NOT_SUPPORTED));
            first = reader.next();
        }
        if (first instanceof ClientMessage.CancelRequest cancel) {
            finished = true;
            cancelHandler.accept(cancel);
            closer.run();
        } else if (first != null) {
            refuse(countRequests());
        }
    }

    private int countRequests() {
        int requests = 0;
        ClientMessage message = reader.next();
        while (message != null && requests < MAX_REQUESTS_ANSWERED && !message.closesConnection()) {
            if (message.expectsQueryResponse()) {
                requests++;
            }
            message = reader.next();
        }
        return requests;
    }

    /** The first error answers the startup message and the first request, further ones the requests behind that. */
    private void refuse(int requests) {
        if (finished) {
            return;
        }
        finished = true;
        socket.write(ErrorResponses.fatal(SqlStates.TOO_MANY_CONNECTIONS, "too many connections"));
        for (int i = 1; i < requests; i++) {
            socket.write(ErrorResponses.error(SqlStates.TOO_MANY_CONNECTIONS, "not run, too many connections"));
        }
        closer.run();
    }
}
