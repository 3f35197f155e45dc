package ploverdale.dev;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.net.postgres.ServerMessageReader;

/**
 * A minimal client for trying out a gateway: owns one connection and sends queries on it, each after the answer to the
 * one before. Not meant for load tests. Runs on the event loop.
 */
public final class DevClient {
    private final NetSocket socket;
    private final ServerMessageReader reader = new ServerMessageReader();
    /** The handshake, then the queries that are not answered yet, oldest first. */
    private final Deque<Promise<String>> unanswered = new ArrayDeque<>();
    /** The answer to the oldest unanswered query, as far as it has arrived. */
    private final StringBuilder answer = new StringBuilder();

    /** Referenced here because Vert.x closes a client, with its connections, once it becomes unreachable. */
    private final NetClient netClient;

    private DevClient(NetClient netClient, NetSocket socket) {
        this.netClient = netClient;
        this.socket = socket;
        unanswered.add(Promise.promise());
        socket.handler(this::onBytes);
        socket.closeHandler(ignored -> unanswered.forEach(pending -> pending.tryFail("the gateway closed the connection")));
        socket.write(MessageWriter.startup());
    }

    /** Connects and sends the startup message; the future completes when the gateway is ready for queries. */
    public static Future<DevClient> connect(Vertx vertx, InetSocketAddress address) {
        NetClient netClient = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(2000).setTcpNoDelay(true));
        return netClient.connect(SocketAddress.inetSocketAddress(address)).compose(socket -> {
            DevClient client = new DevClient(netClient, socket);
            return client.unanswered.peek().future().map(client);
        });
    }

    /** Closes the connection. */
    public Future<Void> close() {
        return netClient.close();
    }

    /**
     * Sends one query.
     *
     * @return a printable form of the answer: its row, if any, and the command tag, or the error with its SQLSTATE
     */
    public Future<String> query(String text) {
        Promise<String> promise = Promise.promise();
        unanswered.add(promise);
        socket.write(MessageWriter.query(text));
        return promise.future();
    }

    private void onBytes(Buffer received) {
        reader.feed(received);
        for (ServerMessage message = reader.next(); message != null; message = reader.next()) {
            if (message instanceof ServerMessage.DataRow row) {
                answer.append("row ")
                        .append(row.bytes() == null ? "null" : new String(row.bytes(), UTF_8))
                        .append("; ");
            } else if (message instanceof ServerMessage.CommandComplete completion) {
                answer.append(completion.tag().isEmpty() ? "empty" : completion.tag());
            } else if (message instanceof ServerMessage.ErrorResponse error) {
                answer.append("error ")
                        .append(error.code())
                        .append(' ')
                        .append(error.message());
            } else if (message instanceof ServerMessage.Malformed malformed) {
                unanswered.poll().tryFail("malformed message from the gateway: " + malformed.description());
                socket.close();
                return;
            } else if (message instanceof ServerMessage.ReadyForQuery) {
                Promise<String> promise = unanswered.poll();
                String text = answer.toString();
                answer.setLength(0);
                if (promise != null) {
                    promise.complete(text);
                }
            }
        }
    }
}
