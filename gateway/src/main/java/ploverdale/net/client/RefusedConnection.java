package ploverdale.net.client;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;
import ploverdale.net.eventloop.NioSockets;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.ClientMessageReader;

/**
 * A client connection that is refused for lack of capacity. Waits a short time for the startup message, since requests
 * may directly follow it, and then answers the startup message and each of the requests with a separate error. Must
 * never forward a request, nor close the connection while a request that it has read is unanswered. Refuses the
 * connection at most once. Used on the event loop only.
 */
final class RefusedConnection {
    /** Number of requests after the startup message that are answered individually. */
    private static final int MAX_REQUESTS_ANSWERED = 1000;

    private static final String ENCRYPTION_NOT_SUPPORTED = "N";

    private static final long NO_TIMER = -1;

    private final Vertx vertx;
    private final NetSocket socket;
    private final Consumer<ClientMessage.CancelRequest> cancelHandler;
    private final Runnable closer;
    private final ClientMessageReader reader = new ClientMessageReader();
    private boolean finished;
    private long timer = NO_TIMER;

    /**
     * @param cancelHandler called with a cancel message, which is accepted without capacity
     * @param closer called to close the connection after the last response has been written
     */
    RefusedConnection(
            Vertx vertx, NetSocket socket, Consumer<ClientMessage.CancelRequest> cancelHandler, Runnable closer) {
        this.vertx = vertx;
        this.socket = socket;
        this.cancelHandler = cancelHandler;
        this.closer = closer;
    }

    /** Refuses the connection when its startup message has been received, or else after this time. */
    void refuseWithin(long waitMs) {
        socket.handler(this::onBytes);
        if (waitMs == 0) {
            NioSockets.readNow(socket); // requests received already are answered individually
            refuse(0);
        } else {
            timer = vertx.setTimer(waitMs, timerId -> refuse(0));
        }
    }

    /** Called when the client has closed the connection; nothing is written after that. */
    void onClosed() {
        finish();
    }

    /** Ends the wait for the startup message, and releases what has been received. */
    private void finish() {
        finished = true;
        reader.clear();
        vertx.cancelTimer(timer);
    }

    private void onBytes(Buffer bytes) {
        reader.feed(bytes);
        ClientMessage first = reader.next();
        Buffer encryptionAnswers = Buffer.buffer();
        while (first instanceof ClientMessage.EncryptionRequest) {
            encryptionAnswers.appendString(ENCRYPTION_NOT_SUPPORTED);
            first = reader.next();
        }
        if (encryptionAnswers.length() > 0) {
            socket.write(encryptionAnswers);
        }
        if (first instanceof ClientMessage.CancelRequest cancel) {
            finish();
            cancelHandler.accept(cancel);
            closer.run();
        } else if (first != null) {
            refuse(countRequests());
        }
    }

    private int countRequests() {
        return Math.min(MAX_REQUESTS_ANSWERED, reader.skipQueries());
    }

    /** Writes one error for the startup message and the first request, and one for each further request. */
    private void refuse(int requests) {
        if (finished) {
            return;
        }
        finish();
        Buffer answers = ErrorResponses.fatal(SqlStates.TOO_MANY_CONNECTIONS, "too many connections");
        Buffer further = ErrorResponses.error(SqlStates.TOO_MANY_CONNECTIONS, "not run, too many connections");
        for (int i = 1; i < requests; i++) {
            answers.appendBuffer(further);
        }
        socket.write(answers);
        closer.run();
    }
}
