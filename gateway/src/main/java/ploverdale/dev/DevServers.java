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
 * Owns a toy: database servers that share one table in memory, and the discovery that lists them, for a first try
 * of the gateway. The first server of each group is its primary. Must never be taken for a database: nothing is
 * kept, and statements are told apart by their first word.
 */
public final class DevServers {
    private static final Pattern QUOTED = Pattern.compile("'([^']*)'");

    private final Vertx vertx;
    private final Map<String, String> table = new HashMap<>();
    private final List<String> members = new ArrayList<>();
    private final List<EndpointList.Entry> entries = new ArrayList<>();
    private final List<Object> up = new ArrayList<>(); // held, since one that nobody holds may be closed
    private long writtenAt = Clock.system().wallMs();
    private InetSocketAddress discovery;

    private DevServers(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Starts a server for each that the file knows, and discovery; at the told ports, or at any free ones. */
    public static Future<DevServers> start(Vertx vertx, ConfigurationFile file, boolean anyPorts) {
        DevServers toy = new DevServers(vertx);
        Future<?> all = Future.succeededFuture();
        Set<Long> groups = new HashSet<>();
        for (EndpointList.Entry e : file.known().entries()) {
            boolean primary = groups.add(e.endpoint().group().number());
            all = all.compose(x -> toy.server(e, primary, anyPorts));
        }
        return all.compose(x -> toy.list(file.discovery(), anyPorts))
                .compose(x -> toy.warmUp())
                .map(toy);
    }

    /** Asks each server once, so that the first probe of a gateway does not wait for this program's classes. */
    private Future<?> warmUp() {
        Future<?> all = Future.succeededFuture();
        for (EndpointList.Entry e : entries) {
            all = all.compose(x -> DevClient.connect(vertx, e.address()))
                    .compose(c -> c.ask("SHOW vitals").compose(x -> c.close()));
        }
        return all;
    }

    public List<EndpointList.Entry> entries() {
        return entries;
    }

    public InetSocketAddress discovery() {
        return discovery;
    }

    private Future<NetServer> server(EndpointList.Entry e, boolean primary, boolean anyPort) {
        String host = e.address().getAddress().getHostAddress();
        return vertx.createNetServer()
                .connectHandler(s -> serve(s, primary))
                .listen(anyPort ? 0 : e.address().getPort(), host)
                .onSuccess(s -> {
                    up.add(s);
                    entries.add(new EndpointList.Entry(e.endpoint(), new InetSocketAddress(host, s.actualPort())));
                    members.add("{\"id\":\"" + e.endpoint().server().value() + "\",\"host_port\":\"" + host + ":"
                            + s.actualPort() + "\",\"cell\":"
                            + e.endpoint().group().number()
                            + ",\"phase\":\"SERVING\",\"up_since_ms\":0}");
                });
    }

    private Future<?> list(InetSocketAddress at, boolean anyPort) {
        String host = at.getAddress().getHostAddress();
        String whole = "{\"revision\":2,\"complete\":true,\"members\":[" + String.join(",", members) + "]}";
        String none = "{\"revision\":2,\"complete\":false,\"members\":[]}";
        return vertx.createHttpServer()
                .requestHandler(r -> {
                    String hold = r.getParam("hold_ms");
                    if (hold == null || !hold.matches("\\d{1,5}")) {
                        r.response().end(whole);
                    } else {
                        vertx.setTimer(
                                Math.max(1, Long.parseLong(hold)),
                                x -> r.response().end(none));
                    }
                })
                .listen(anyPort ? 0 : at.getPort(), host)
                .onSuccess(s -> {
                    up.add(s);
                    discovery = new InetSocketAddress(host, s.actualPort());
                });
    }

    private void serve(NetSocket socket, boolean primary) {
        Buffer held = Buffer.buffer();
        boolean[] greeted = {false};
        Buffer[] rest = {held};
        socket.handler(more -> {
            Buffer b = rest[0].appendBuffer(more);
            int from = 0;
            for (int head = greeted[0] ? 1 : 0; b.length() - from >= head + 4; head = 1) {
                int length = b.getInt(from + head);
                if (b.length() - from < head + length) {
                    break;
                }
                if (!greeted[0]) {
                    greeted[0] = true;
                    socket.write(ready(
                            Buffer.buffer().appendByte((byte) 'R').appendInt(8).appendInt(0)));
                } else if (b.getByte(from) == 'Q') {
                    String text = b.getBuffer(from + 5, from + length).toString(ISO_8859_1);
                    // a little work, so that there is something to see
                    vertx.setTimer(2, x -> socket.write(answer(text, primary)));
                }
                from += head + length;
            }
            rest[0] = b.getBuffer(from, b.length());
        });
    }

    private Buffer answer(String text, boolean primary) {
        long now = Clock.system().wallMs();
        String vitals =
                "x0=" + now / 1000 + "." + String.format("%03d", now % 1000) + ",x1=" + (primary ? 1 : 0) + ",busy=0.1";
        Buffer b = Buffer.buffer();
        MessageWriter.parameterStatus(b, "rank", primary ? "source" : "copy");
        MessageWriter.parameterStatus(b, "vitals", vitals);
        Matcher quoted = QUOTED.matcher(text);
        String key = quoted.find() ? quoted.group(1) : "";
        if (text.startsWith("SHOW")) {
            return row(b, vitals.getBytes(ISO_8859_1), "SHOW");
        }
        if (text.startsWith("SELECT 1")) {
            return row(b, "1".getBytes(ISO_8859_1), "SELECT 1");
        }
        if (text.startsWith("SELECT")) {
            MessageWriter.parameterStatus(b, "as_of", Long.toString(now));
            return row(b, bytes(table.getOrDefault(key, "")), "SELECT 1");
        }
        if (!primary) {
            return problem(b, "25006", "this is a replica");
        }
        String value = quoted.find() ? quoted.group(1) : "";
        table.put(key, value);
        writtenAt = now;
        MessageWriter.parameterStatus(b, "as_of", Long.toString(writtenAt));
        return row(b, bytes(value), "INSERT 0 1");
    }

    private static byte[] bytes(String literal) {
        if (!literal.startsWith("\\x") || literal.length() % 2 != 0) {
            return literal.getBytes(ISO_8859_1);
        }
        byte[] b = new byte[literal.length() / 2 - 1];
        for (int i = 0; i < b.length; i++) {
            b[i] = (byte) (Character.digit(literal.charAt(2 * i + 2), 16) << 4
                    | Character.digit(literal.charAt(2 * i + 3), 16));
        }
        return b;
    }

    private static Buffer row(Buffer b, byte[] value, String tag) {
        b.appendByte((byte) 'T')
                .appendInt(28)
                .appendShort((short) 1)
                .appendString("val")
                .appendByte((byte) 0);
        b.appendInt(0)
                .appendShort((short) 0)
                .appendInt(17)
                .appendShort((short) -1)
                .appendInt(-1)
                .appendShort((short) 1);
        b.appendByte((byte) 'D')
                .appendInt(10 + value.length)
                .appendShort((short) 1)
                .appendInt(value.length)
                .appendBytes(value);
        b.appendByte((byte) 'C').appendInt(5 + tag.length()).appendString(tag).appendByte((byte) 0);
        return ready(b);
    }

    private static Buffer problem(Buffer b, String code, String text) {
        b.appendByte((byte) 'E').appendInt(4 + 7 + 1 + code.length() + 2 + text.length() + 2 - 1);
        b.appendString("SERROR").appendByte((byte) 0).appendString("C" + code).appendByte((byte) 0);
        b.appendString("M" + text).appendByte((byte) 0).appendByte((byte) 0);
        return ready(b);
    }

    private static Buffer ready(Buffer b) {
        return b.appendByte((byte) 'Z').appendInt(5).appendByte((byte) 'I');
    }
}
