package ploverdale.tools.stand;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.net.postgres.ServerMessageReader;
import ploverdale.tools.ledger.Ledger.Answer;

/** A client's connection to a gateway that carries a single request. Used on one event loop. */
final class SingleRequestConnection {
    /** Is called on the event loop; {@link #onEnded} is called once, unless the client closes the connection before. */
    interface Listener {
        /** The connection is open and the startup message has been written. */
        default void onConnected(SingleRequestConnection connection) {}

        /** The gateway has answered the startup message. */
        default void onReady(SingleRequestConnection connection) {}

        /**
         * The request has been answered, or the connection has ended.
         *
         * @param answer null if there is none
         */
        void onEnded(Answer answer);
    }

    private final Listener listener;
    private final ServerMessageReader reader = new ServerMessageReader();
    private NetSocket socket;
    private Answer answer;
    private boolean ready;
    private boolean ended;

    private SingleRequestConnection(Listener listener) {
        this.listener = listener;
    }

    /** Connects to the gateway at a port of 127.0.0.1 and writes the startup message. */
    static SingleRequestConnection open(NetClient net, int port, Listener listener) {
        SingleRequestConnection connection = new SingleRequestConnection(listener);
        net.connect(port, "127.0.0.1").onComplete(connection::onConnected, failure -> connection.end(null));
        return connection;
    }

    private void onConnected(NetSocket connected) {
        if (ended) {
            connected.close();
            return;
        }
        socket = connected;
        socket.exceptionHandler(failure -> {});
        socket.closeHandler(closed -> end(null));
        socket.handler(this::onBytes);
        socket.write(MessageWriter.startup());
        listener.onConnected(this);
    }

    private void onBytes(Buffer received) {
        reader.feed(received);
        for (ServerMessage message = reader.next(); message != null; message = reader.next()) {
            onMessage(message);
        }
    }

    private void onMessage(ServerMessage message) {
        if (message instanceof ServerMessage.CommandComplete) {
            answer = Answer.SUCCEEDED;
        } else if (message instanceof ServerMessage.ErrorResponse error) {
            boolean rejected = error.code().equals("53300") || error.code().equals("57P03");
            answer = rejected ? Answer.REJECTED : Answer.FAILED;
        } else if (message instanceof ServerMessage.ReadyForQuery && !ready) {
            ready = true;
            if (!ended) {
                listener.onReady(this);
            }
        } else if (message instanceof ServerMessage.ReadyForQuery) {
            end(answer == null ? Answer.FAILED : answer);
        }
    }

    /** Writes the request. */
    void send(Buffer query) {
        socket.write(query);
    }

    /** Returns whether the gateway has answered the startup message, and the connection has not ended. */
    boolean isReady() {
        return ready && !ended;
    }

    /** Ends the connection without an answer, unless it has ended. */
    void giveUp() {
        end(null);
    }

    private void end(Answer finalAnswer) {
        if (ended) {
            return;
        }
        close();
        listener.onEnded(finalAnswer);
    }

    /** Closes the connection; the listener is not called any more. */
    void close() {
        ended = true;
        if (socket != null) {
            socket.close();
        }
    }
}
