package ploverdale.dev;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ploverdale.clock.Clock;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.EndpointList;

/**
 * Development stand-ins for trying out a gateway: database servers that share one table in memory, and a discovery
 * agent that lists them. The first server of each group is its primary. They are no database: nothing is stored beyond
 * the process, and a statement is recognized by its first word. Runs on the event loop.
 */
public final class DevServers {
    private static final Pattern QUOTED_LITERAL = Pattern.compile("'([^']*)'");

    private final Vertx vertx;
    private final Map<String, String> table = new HashMap<>();
    /** The servers as discovery lists them, in JSON. */
    private final List<String> members = new ArrayList<>();
    private final List<EndpointList.Entry> entries = new ArrayList<>();
    /** Referenced here because Vert.x may close a listening server once it becomes unreachable. */
    private final List<Object> listeners = new ArrayList<>();

    private long lastWriteMs = Clock.system().wallMs();
    private InetSocketAddress discovery;

    private DevServers(Vertx vertx) {
        this.vertx = vertx;
    }

    /**
     * Starts a server for each one in the configuration's endpoint list, and discovery.
     *
     * @param anyPorts whether they listen at free ports instead of those that the configuration names
     */
    public static Future<DevServers> start(Vertx vertx, ConfigurationFile configuration, boolean anyPorts) {
        DevServers servers = new DevServers(vertx);
        Future<?> previous = Future.succeededFuture();
        Set<Long> groups = new HashSet<>();
        for (EndpointList.Entry entry : configuration.known().entries()) {
            boolean primary = groups.add(entry.endpoint().group().number());
            previous = previous.compose(ignored -> servers.startServer(entry, primary, anyPorts));
        }
        return previous.compose(ignored -> servers.startDiscovery(configuration.discovery(), anyPorts))
                .compose(ignored -> servers.warmUp())
                .map(servers);
    }

    /**
     * Sends each server one query, so that a gateway's first health check does not wait until classes are loaded here.
     */
    private Future<?> warmUp() {
        Future<?> previous = Future.succeededFuture();
        for (EndpointList.Entry entry : entries) {
            previous = previous.compose(ignored -> DevClient.connect(vertx, entry.address()))
                    .compose(client -> client.query("SHOW vitals").compose(ignored -> client.close()));
        }
        return previous;
    }

    /** The servers with the addresses at which they listen. */
    public List<EndpointList.Entry> entries() {
        return entries;
    }

    /** The address at which discovery listens. */
    public InetSocketAddress discovery() {
        return discovery;
    }

    private Future<NetServer> startServer(EndpointList.Entry entry, boolean primary, boolean anyPort) {
        String host = entry.address().getAddress().getHostAddress();
        return vertx.createNetServer()
                .connectHandler(socket -> handleConnection(socket, primary))
                .listen(anyPort ? 0 : entry.address().getPort(), host)
                .onSuccess(server -> {
                    listeners.add(server);
                    entries.add(new EndpointList.Entry(
                            entry.endpoint(), new InetSocketAddress(host, server.actualPort())));
                    members.add("{\"id\":\"" + entry.endpoint().server().value() + "\",\"host_port\":\"" + host + ":"
                            + server.actualPort() + "\",\"cell\":"
                            + entry.endpoint().group().number()
                            + ",\"phase\":\"SERVING\",\"up_since_ms\":0}");
                });
    }

    /**
     * Starts discovery, whose list never changes: a long poll is answered with an empty update when its time is over.
     */
    private Future<?> startDiscovery(InetSocketAddress address, boolean anyPort) {
        String host = address.getAddress().getHostAddress();
        String completeList = "{\"revision\":2,\"complete\":true,\"members\":[" + String.join(",", members) + "]}";
        String emptyUpdate = "{\"revision\":2,\"complete\":false,\"members\":[]}";
        return vertx.createHttpServer()
                .requestHandler(request -> {
                    String holdMs = request.getParam("hold_ms");
                    if (holdMs == null || !holdMs.matches("\\d{1,5}")) {
                        request.response().end(completeList);
                    } else {
                        vertx.setTimer(
                                Math.max(1, Long.parseLong(holdMs)),
                                ignored -> request.response().end(emptyUpdate));
                    }
                })
                .listen(anyPort ? 0 : address.getPort(), host)
                .onSuccess(server -> {
                    listeners.add(server);
                    discovery = new InetSocketAddress(host, server.actualPort());
                });
    }

    /** Answers a connection's startup message and its queries; other messages are ignored. */
    private void handleConnection(NetSocket socket, boolean primary) {
        Buffer empty = Buffer.buffer();
        boolean[] startupReceived = {false};
        Buffer[] incomplete = {empty}; // the bytes of a message that has not arrived completely
        socket.handler(received -> {
            Buffer input = incomplete[0].appendBuffer(received);
            int from = 0;
            // Each message begins with a type byte, except for the startup message.
            for (int typeBytes = startupReceived[0] ? 1 : 0; input.length() - from >= typeBytes + 4; typeBytes = 1) {
                int length = input.getInt(from + typeBytes);
                if (input.length() - from < typeBytes + length) {
                    break;
                }
                if (!startupReceived[0]) {
                    startupReceived[0] = true;
                    socket.write(readyForQuery(
                            Buffer.buffer().appendByte((byte) 'R').appendInt(8).appendInt(0)));
                } else if (input.getByte(from) == 'Q') {
                    String query = input.getBuffer(from + 5, from + length).toString(ISO_8859_1);
                    // The delay makes latencies visible.
                    vertx.setTimer(2, ignored -> socket.write(answer(query, primary)));
                }
                from += typeBytes + length;
            }
            incomplete[0] = input.getBuffer(from, input.length());
        });
    }

    private Buffer answer(String query, boolean primary) {
        long now = Clock.system().wallMs();
        String loadReport =
                "x0=" + now / 1000 + "." + String.format("%03d", now % 1000) + ",x1=" + (primary ? 1 : 0) + ",busy=0.1";
        Buffer answer = Buffer.buffer();
        MessageWriter.parameterStatus(answer, "rank", primary ? "source" : "copy");
        MessageWriter.parameterStatus(answer, "vitals", loadReport);
        Matcher literals = QUOTED_LITERAL.matcher(query);
        String key = literals.find() ? literals.group(1) : "";
        if (query.startsWith("SHOW")) {
            return row(answer, loadReport.getBytes(ISO_8859_1), "SHOW");
        }
        if (query.startsWith("SELECT 1")) {
            return row(answer, "1".getBytes(ISO_8859_1), "SELECT 1");
        }
        if (query.startsWith("SELECT")) {
            MessageWriter.parameterStatus(answer, "as_of", Long.toString(now));
            return row(answer, bytes(table.getOrDefault(key, "")), "SELECT 1");
        }
        if (!primary) {
            return error(answer, "25006", "this is a replica");
        }
        String value = literals.find() ? literals.group(1) : "";
        table.put(key, value);
        lastWriteMs = now;
        MessageWriter.parameterStatus(answer, "as_of", Long.toString(lastWriteMs));
        return row(answer, bytes(value), "INSERT 0 1");
    }

    /** Decodes a literal: a bytea in hexadecimal form ({@code \x...}), or else plain text. */
    private static byte[] bytes(String literal) {
        if (!literal.startsWith("\\x") || literal.length() % 2 != 0) {
            return literal.getBytes(ISO_8859_1);
        }
        byte[] decoded = new byte[literal.length() / 2 - 1];
        for (int i = 0; i < decoded.length; i++) {
            decoded[i] = (byte) (Character.digit(literal.charAt(2 * i + 2), 16) << 4
                    | Character.digit(literal.charAt(2 * i + 3), 16));
        }
        return decoded;
    }

    /** Appends the messages of an answer that has one row with one column. */
    private static Buffer row(Buffer answer, byte[] value, String tag) {
        answer.appendByte((byte) 'T')
                .appendInt(28)
                .appendShort((short) 1)
                .appendString("val")
                .appendByte((byte) 0);
        answer.appendInt(0)
                .appendShort((short) 0)
                .appendInt(17)
                .appendShort((short) -1)
                .appendInt(-1)
                .appendShort((short) 1);
        answer.appendByte((byte) 'D')
                .appendInt(10 + value.length)
                .appendShort((short) 1)
                .appendInt(value.length)
                .appendBytes(value);
        answer.appendByte((byte) 'C')
                .appendInt(5 + tag.length())
                .appendString(tag)
                .appendByte((byte) 0);
        return readyForQuery(answer);
    }

    /** Appends an ErrorResponse message and ReadyForQuery. */
    private static Buffer error(Buffer answer, String code, String text) {
        answer.appendByte((byte) 'E').appendInt(4 + 7 + 1 + code.length() + 2 + text.length() + 2 - 1);
        answer.appendString("SERROR").appendByte((byte) 0).appendString("C" + code).appendByte((byte) 0);
        answer.appendString("M" + text).appendByte((byte) 0).appendByte((byte) 0);
        return readyForQuery(answer);
    }

    private static Buffer readyForQuery(Buffer answer) {
        return answer.appendByte((byte) 'Z').appendInt(5).appendByte((byte) 'I');
    }
}
