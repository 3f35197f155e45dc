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
 * Owns one connection to a gateway and asks queries on it, one after another, for a first try of the gateway.
 * Must never be used for load: it waits for each answer.
 */
public final class DevClient {
    private final NetSocket socket;
    private final ServerMessageReader stream = new ServerMessageReader();
    private final Deque<Promise<String>> waiting = new ArrayDeque<>();
    private final StringBuilder answer = new StringBuilder();

    private final NetClient net; // held, since one that nobody holds is closed with its connections

    private DevClient(NetClient net, NetSocket socket) {
        this.net = net;
        this.socket = socket;
        waiting.add(Promise.promise());
        socket.handler(this::bytes);
        socket.closeHandler(x -> waiting.forEach(p -> p.tryFail("the gateway closed the connection")));
        socket.write(MessageWriter.startup());
    }

    /** Connects and greets. */
    public static Future<DevClient> connect(Vertx vertx, InetSocketAddress to) {
        NetClient net = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(2000).setTcpNoDelay(true));
        return net.connect(SocketAddress.inetSocketAddress(to)).compose(s -> {
            DevClient c = new DevClient(net, s);
            return c.waiting.peek().future().map(c);
        });
    }

    /** Ends the connection. */
    public Future<Void> close() {
        return net.close();
    }

    /** Asks one query; the future holds what came back, in words. */
    public Future<String> ask(String text) {
        Promise<String> p = Promise.promise();
        waiting.add(p);
        socket.write(MessageWriter.query(text));
        return p.future();
    }

    private void bytes(Buffer more) {
        stream.feed(more);
        for (ServerMessage m = stream.next(); m != null; m = stream.next()) {
            if (m instanceof ServerMessage.DataRow v) {
                answer.append("row ")
                        .append(v.bytes() == null ? "null" : new String(v.bytes(), UTF_8))
                        .append("; ");
            } else if (m instanceof ServerMessage.CommandComplete d) {
                answer.append(d.tag().isEmpty() ? "empty" : d.tag());
            } else if (m instanceof ServerMessage.ErrorResponse p) {
                answer.append("refused or failed: ")
                        .append(p.code())
                        .append(' ')
                        .append(p.message());
            } else if (m instanceof ServerMessage.Malformed g) {
                waiting.poll().tryFail("cannot be read: " + g.description());
                socket.close();
                return;
            } else if (m instanceof ServerMessage.ReadyForQuery) {
                Promise<String> p = waiting.poll();
                String text = answer.toString();
                answer.setLength(0);
                if (p != null) {
                    p.complete(text);
                }
            }
        }
    }
}
