package ploverdale.tools.stand;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ploverdale.clock.Clock;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.model.GroupModel;
import ploverdale.tools.model.GroupModel.Completion;
import ploverdale.tools.model.GroupModel.Execution;
import ploverdale.tools.model.ServerModel.Fault;

/**
 * Database servers and discovery of one group. The servers speak version 3 of the PostgreSQL protocol; a silent one accepts
 * and says nothing, a refusing one closes. Discovery answers whole lists and watches, late by a stated time, and names the
 * primary of the morning for ever. All on one event loop.
 */
public final class TestCluster {
    private static final Pattern ID = Pattern.compile("/\\* id=([^,]+),");
    private static final Pattern KEY = Pattern.compile("'([^']*)'");
    private static final int OID_BYTES = 17;

    private final Vertx vertx;
    private final GroupModel model;
    private final Ledger ledger;
    private final List<String> ids;
    private final long listLateMs;
    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, Integer> seenAt = new HashMap<>(); // by gateway and server, where it goes another way
    private Traffic traffic = (request, server, now, out) -> {};
    private Predicate<String> hearsLists = x -> true;
    private final Map<String, Set<NetSocket>> open = new HashMap<>();
    private final List<Object> up = new ArrayList<>(); // held, since one that nobody holds may be closed
    private final List<Waiting> watches = new ArrayList<>();
    private final Map<String, String> phase = new HashMap<>(); // as discovery tells it
    private final Map<String, Long> startedAt = new HashMap<>();
    private final List<Runnable> listListeners = new ArrayList<>();
    private int revision = 1;
    private int probes;

    /** Hears of each op that reaches a server, and of its end there. */
    public interface Traffic {
        void request(String request, String server, long now, boolean comes);
    }

    private record Waiting(HttpServerResponse to, String gateway) {}

    public TestCluster(Vertx vertx, GroupModel model, Ledger ledger, List<String> ids, long listLateMs) {
        this.vertx = vertx;
        this.model = model;
        this.ledger = ledger;
        this.ids = ids;
        this.listLateMs = listLateMs;
    }

    /** Starts the servers. */
    public Future<Void> servers() {
        Future<Void> all = Future.succeededFuture();
        for (String id : ids) {
            open.put(id, new HashSet<>());
            phase.put(id, "SERVING");
            startedAt.put(id, 0L);
            all = all.compose(x -> vertx.createNetServer()
                    .connectHandler(s -> new Connection(id, s))
                    .listen(0, "127.0.0.1")
                    .map(s -> {
                        up.add(s);
                        ports.put(id, s.actualPort());
                        return null;
                    }));
        }
        return all;
    }

    /** Where a server listens. */
    public int port(String server) {
        return ports.get(server);
    }

    /** From now on this gateway is told that the server is at that port. */
    public void seenAt(String gateway, String server, int port) {
        seenAt.put(gateway + " " + server, port);
    }

    /** Who hears of the ops at the servers. */
    public void traffic(Traffic hears) {
        traffic = hears;
    }

    /** Which gateways are reached by discovery now; others are told of drains when they ask again. */
    public void hearsLists(Predicate<String> gateways) {
        hearsLists = gateways;
    }

    /** Starts discovery for one gateway; the future holds its port. */
    public Future<Integer> discovery(String gateway) {
        return vertx.createHttpServer()
                .requestHandler(r -> {
                    String from = r.getParam("from");
                    if (from == null || Integer.parseInt(from) != revision) {
                        tell(r.response(), gateway, from == null);
                        return;
                    }
                    Waiting w = new Waiting(r.response(), gateway);
                    watches.add(w);
                    vertx.setTimer(Math.max(1, Long.parseLong(r.getParam("hold_ms"))), x -> {
                        if (watches.remove(w)) {
                            r.response().end("{\"revision\":" + revision + ",\"complete\":false,\"members\":[]}");
                        }
                    });
                })
                .listen(0, "127.0.0.1")
                .map(s -> {
                    up.add(s);
                    return s.actualPort();
                });
    }

    private void tell(HttpServerResponse to, String gateway, boolean whole) {
        to.end(list(gateway, true)); // an agent may always answer with the whole list
        phase.forEach((id, p) -> {
            if (p.equals("DRAINING") && hearsLists.test(gateway)) {
                ledger.drainReported(gateway, id, Clock.system().now());
            }
        });
    }

    /** The list as discovery has it. */
    public String list(boolean complete) {
        return list("", complete);
    }

    /** The same, as this gateway is told. */
    public String list(String gateway, boolean complete) {
        StringBuilder b =
                new StringBuilder("{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[");
        List<String> entries = listed().stream()
                .filter(ListedServer::isListed)
                .map(server -> entry(gateway, server))
                .toList();
        return b.append(String.join(",", entries)).append("]}").toString();
    }

    /** The list's entry of a server, as this gateway is told. */
    public String entry(String gateway, ListedServer server) {
        String id = server.id();
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:"
                + seenAt.getOrDefault(gateway + " " + id, ports.get(id))
                + "\",\"locality\":\"here\",\"cell\":0,\"phase\":\"" + server.phase() + "\",\"rank\":\""
                + (id.equals(ids.get(0)) ? "source" : "copy") + "\",\"up_since_ms\":" + server.startedAtMs() + "}";
    }

    /** All servers that were ever listed. */
    public List<ListedServer> listed() {
        return ids.stream()
                .map(id -> new ListedServer(id, phase.get(id), startedAt.get(id)))
                .toList();
    }

    /** The list's count of changes. */
    public int revision() {
        return revision;
    }

    /** Runs this after each change of the list. */
    public void whenListChanges(Runnable listener) {
        listListeners.add(listener);
    }

    private void listLater(Runnable change) {
        vertx.setTimer(Math.max(1, listLateMs), x -> {
            change.run();
            revision++;
            List<Waiting> all = List.copyOf(watches);
            watches.clear();
            all.forEach(w -> tell(w.to(), w.gateway(), false));
            listListeners.forEach(Runnable::run);
        });
    }

    /** Something goes wrong with a server; its connections stay, but for one that refuses. */
    public void fault(String id, Fault fault) {
        model.fault(Clock.system().now(), id, fault);
        if (fault == Fault.REFUSING) {
            List.copyOf(open.get(id)).forEach(NetSocket::close);
        }
    }

    /** It is back; after a restart its connections are reset and discovery tells of the start, late. */
    public void heals(String id, boolean restarted) {
        long now = Clock.system().now();
        model.heal(now, id, restarted);
        if (restarted) {
            List.copyOf(open.get(id)).forEach(NetSocket::close);
            listLater(() -> startedAt.put(id, now / 10));
        }
    }

    /** It drains; discovery tells so, late. */
    public void drains(String id) {
        model.drain(Clock.system().now(), id);
        listLater(() -> phase.put(id, "DRAINING"));
    }

    /** It is gone, and discovery tells so, late. */
    public void removes(String id) {
        fault(id, Fault.REFUSING);
        listLater(() -> phase.put(id, "DELETED"));
    }

    /** It is started anew under its id; discovery tells so, late. */
    public void returns(String id) {
        heals(id, true);
        listLater(() -> phase.put(id, "SERVING"));
    }

    public int probes() {
        return probes;
    }

    public void close() {
        up.forEach(x -> {
            if (x instanceof NetServer s) {
                s.close();
            }
        });
    }

    /** One connection to a server. */
    private final class Connection {
        private final String server;
        private final NetSocket socket;
        private final Set<String> out = new HashSet<>();
        private Buffer held = Buffer.buffer();
        private boolean greeted;
        private boolean gone;

        private Connection(String server, NetSocket socket) {
            this.server = server;
            this.socket = socket;
            if (model.server(server).fault() == Fault.REFUSING) {
                socket.close();
                return;
            }
            open.get(server).add(socket);
            socket.handler(this::bytes);
            socket.exceptionHandler(e -> {});
            socket.closeHandler(x -> {
                gone = true;
                open.get(server).remove(socket);
                out.forEach(request -> over(request, Clock.system().now()));
            });
        }

        private boolean silent() {
            return model.server(server).fault() == Fault.SILENT;
        }

        private void bytes(Buffer more) {
            held.appendBuffer(more);
            int from = 0;
            for (int head = greeted ? 1 : 0; held.length() - from >= head + 4; head = 1) {
                int length = held.getInt(from + head);
                if (held.length() - from < head + length) {
                    break;
                }
                if (!greeted) {
                    greeted = true;
                    if (!silent()) {
                        socket.write(MessageWriter.startupResponse());
                    }
                } else if (held.getByte(from) == 'Q') {
                    query(held.getString(from + 5, from + length, "UTF-8"));
                }
                from += head + length;
            }
            held = held.getBuffer(from, held.length());
        }

        private void query(String text) {
            long now = Clock.system().now();
            if (text.startsWith("SHOW") || text.startsWith("SELECT 1")) {
                probes++;
                if (!silent()) {
                    socket.write(row(now, vitals(now).getBytes(StandardCharsets.UTF_8), model.position(now, server)));
                }
                return;
            }
            Matcher id = ID.matcher(text);
            if (!id.find()) {
                socket.write(MessageWriter.errorResponse("08P01", "not a client's words", null, true, false));
                socket.close();
                return;
            }
            String request = id.group(1);
            Matcher key = KEY.matcher(text);
            boolean write = text.startsWith("INSERT");
            ledger.attemptReceived(request, server, now);
            traffic.request(request, server, now, true);
            Execution w = model.arrive(now, server, request, write, null);
            if (w.overloaded()) {
                ledger.serverOverloaded(server);
            }
            switch (w.disposition()) {
                case NOT_PRIMARY -> no(request, "25006");
                case QUEUE_FULL -> no(request, "53300");
                case CONNECTION_REFUSED -> socket.close();
                case UNRESPONSIVE -> out.add(request);
                default -> {
                    out.add(request);
                    String value = key.find() ? key.group(1) : "";
                    vertx.setTimer(Math.max(1, (w.doneAt() - now + 9) / 10), x -> ends(w, value));
                }
            }
        }

        private void over(String request, long now) {
            ledger.attemptEnded(request);
            traffic.request(request, server, now, false);
        }

        private void no(String request, String code) {
            ledger.attemptRejected(request);
            traffic.request(request, server, Clock.system().now(), false);
            socket.write(MessageWriter.errorResponse(code, "no", null, false, true));
        }

        private void ends(Execution w, String value) {
            if (gone && !w.write()) {
                return; // stopped with its connection
            }
            long now = Clock.system().now();
            Completion d = model.complete(now, w);
            if (d.applied()) {
                ledger.applied(w.request(), d.position());
            }
            if (gone || !d.answered()) {
                return;
            }
            out.remove(w.request());
            over(w.request(), now);
            if (!w.write()) {
                ledger.readServed(w.request(), d.position(), w.arrivedAt());
                ledger.sessionReadServed(w.request(), d.position());
            }
            socket.write(
                    d.corrupt()
                            ? Buffer.buffer("#~noise~#")
                            : row(now, value.getBytes(StandardCharsets.UTF_8), d.position()));
        }

        private Buffer row(long now, byte[] value, long position) {
            Buffer b = Buffer.buffer();
            MessageWriter.parameterStatus(b, "rank", leads(now) ? "source" : "copy");
            MessageWriter.parameterStatus(b, "as_of", Long.toString(Math.floorDiv(position, 10)));
            MessageWriter.parameterStatus(b, "vitals", vitals(now));
            return b.appendBuffer(MessageWriter.resultRow(new ResultRow(
                    new ServerMessage.RowDescription("val", 0, (short) 0, OID_BYTES, (short) -1, -1, (short) 1),
                    value,
                    "SELECT 1")));
        }

        private boolean leads(long now) {
            return server.equals(model.primary(now));
        }

        private String vitals(long now) {
            return String.format(
                    Locale.ROOT,
                    "x0=%.3f,x1=%d,util=%.2f",
                    model.position(now, server) / 10_000.0 - 0.0005,
                    leads(now) ? 1 : 0,
                    model.server(server).utilization(now));
        }
    }
}
