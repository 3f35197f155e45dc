package ploverdale.net.client;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;
import ploverdale.net.NioSockets;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.ClientMessageReader;
import ploverdale.net.postgres.MessageWriter;

/**
 * A client's connection for which there is no room. Waits a moment for the startup message, since requests may come right
 * behind it, and then refuses it and each of them by an error of its own. Must never forward anything, nor close over what
 * it has read without an answer.
 */
final class RefusedConnection {
    private static final String TOO_MANY_CONNECTIONS = "53300";
    private static final int REQUESTS_MOST = 1000; // answered one by one

    private final NetSocket socket;
    private final Consumer<ClientMessage.CancelRequest> cancels;
    private final Runnable end;
    private final ClientMessageReader stream = new ClientMessageReader();
    private boolean over;

    /**
     * @param cancels takes a cancel message, which needs no room
     * @param end ends the connection, in order, once all is written
     */
    RefusedConnection(NetSocket socket, Consumer<ClientMessage.CancelRequest> cancels, Runnable end) {
        this.socket = socket;
        this.cancels = cancels;
        this.end = end;
    }

    /** Refuses it once its startup message has come, or when so much time is up. */
    void refuseWithin(long waitMs, Vertx vertx) {
        socket.handler(this::bytes);
        if (waitMs == 0) {
            NioSockets.readNow(socket); // what is there already is answered request by request
            refuse(0);
        } else {
            vertx.setTimer(waitMs, x -> refuse(0));
        }
    }

    /** Its client has closed it; nothing is to be done any more. */
    void closed() {
        over = true;
    }

    private void bytes(Buffer more) {
        stream.feed(more);
        ClientMessage first = stream.next();
        while (first instanceof ClientMessage.EncryptionRequest) {
            socket.write(Buffer.buffer("N"));
            first = stream.next();
        }
        if (first instanceof ClientMessage.CancelRequest cancel) {
            over = true;
            cancels.accept(cancel);
            end.run();
        } else if (first != null) {
            refuse(requestsBehind());
        }
    }

    private int requestsBehind() {
        int requests = 0;
        for (ClientMessage m = stream.next(); m != null && requests < REQUESTS_MOST; m = stream.next()) {
            if (m.endsConnection()) {
                return requests;
            }
            requests += m.expectsQueryResponse() ? 1 : 0;
        }
        return requests;
    }

    /** The first error answers the startup message and the first request, further ones the requests behind that. */
    private void refuse(int requests) {
        if (over) {
            return;
        }
        over = true;
        socket.write(MessageWriter.errorResponse(TOO_MANY_CONNECTIONS, "too many connections", null, true, false));
        for (int i = 1; i < requests; i++) {
            socket.write(MessageWriter.errorResponse(
                    TOO_MANY_CONNECTIONS, "not run, too many connections", null, false, true));
        }
        end.run();
    }
}
