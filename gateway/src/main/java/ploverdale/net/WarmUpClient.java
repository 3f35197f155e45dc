package ploverdale.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import java.util.List;
import ploverdale.clock.Clock;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.net.postgres.ServerMessageReader;
import ploverdale.settings.GatewaySettings;

/** The fake client of the warm-up: sends one request after another, each on a connection of its own. */
final class WarmUpClient {
    /**
     * No further request is sent after this time, so that a slow machine sends fewer: during a restart there may be no
     * other gateway that serves.
     */
    private static final long MAX_SENDING_MS = 3000;

    /** Number of ReadyForQuery messages on a connection: one ends its start-up, one ends its request. */
    private static final int READY_MESSAGES_PER_CONNECTION = 2;

    private static final int DISTINCT_KEYS = 9;

    private final NetClient client;
    private final GatewaySettings settings;
    private final Clock clock;
    private final long startedAtMs;

    /** @param startedAtMs when the warm-up began, in milliseconds of {@link Clock#monotonicMs} */
    WarmUpClient(Vertx vertx, GatewaySettings settings, Clock clock, long startedAtMs) {
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
        this.settings = settings;
        this.clock = clock;
        this.startedAtMs = startedAtMs;
    }

    /**
     * Sends the requests one after another.
     *
     * @param requests the number of requests; fewer are sent if that takes too long
     * @return completes when the last connection is closed, and fails if one cannot be opened
     */
    Future<Void> run(InetSocketAddress gateway, int requests) {
        Promise<Void> finished = Promise.promise();
        sendFrom(0, requests, gateway, finished);
        return finished.future();
    }

    private void sendFrom(int index, int requests, InetSocketAddress gateway, Promise<Void> finished) {
        if (index == requests || clock.monotonicMs() - startedAtMs >= MAX_SENDING_MS) {
            finished.tryComplete();
            return;
        }
        client.connect(SocketAddress.inetSocketAddress(gateway)).onComplete(connected -> {
            if (connected.failed()) {
                finished.tryFail(connected.cause());
                return;
            }
            NetSocket socket = connected.result();
            socket.handler(new AnswerReader(socket)::onBytes);
            socket.closeHandler(ignored -> sendFrom(index + 1, requests, gateway, finished));
            socket.write(MessageWriter.startup().appendBuffer(query(index)));
        });
    }

    private Buffer query(int index) {
        List<String> classes = settings.requestClasses();
        String requestClass = classes.get(index % classes.size());
        String tenant =
                settings.tenants().isEmpty() ? "" : ",t=" + settings.tenants().get(0);
        return MessageWriter.query("SELECT " + WarmUpServer.COLUMN + " FROM state WHERE uid = 'k"
                + index % DISTINCT_KEYS + "' /* id=" + index + ",c=" + requestClass + tenant + ",d=900,cluster=0 */");
    }

    /** Closes a connection once its request is answered. */
    private static final class AnswerReader {
        private final NetSocket socket;
        private final ServerMessageReader reader = new ServerMessageReader();
        private int readyMessages;

        private AnswerReader(NetSocket socket) {
            this.socket = socket;
        }

        private void onBytes(Buffer bytes) {
            reader.feed(bytes);
            for (ServerMessage message = reader.next(); message != null; message = reader.next()) {
                if (message instanceof ServerMessage.ReadyForQuery && ++readyMessages == READY_MESSAGES_PER_CONNECTION) {
                    socket.close();
                }
            }
        }
    }
}
