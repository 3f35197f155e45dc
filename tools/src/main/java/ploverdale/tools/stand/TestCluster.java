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
 * The database servers and the service discovery of one replica group. The servers speak version 3 of the PostgreSQL
 * protocol; an unresponsive one accepts connections and never answers, a refusing one closes them. Discovery answers
 * requests for complete endpoint lists and long polls; it learns of changes with a fixed delay, and never learns of a
 * new primary. Everything runs on one event loop.
 */
public final class TestCluster {
    private static final Pattern REQUEST_ID = Pattern.compile("/\\* id=([^,]+),");
    private static final Pattern KEY = Pattern.compile("'([^']*)'");
    private static final int OID_BYTES = 17;

    private final Vertx vertx;
    private final GroupModel model;
    private final Ledger ledger;
    private final List<String> ids;
    private final long listDelayMs;
    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final Map<String, Integer> overriddenPorts = new HashMap<>(); // listed ports, by gateway and server
    private RequestListener requestListener = (request, server, now, started) -> {};
    private Predicate<String> discoveryReachable = x -> true;
    private final Map<String, Set<NetSocket>> openSockets = new HashMap<>();
    private final List<Object> listeners = new ArrayList<>(); // Vert.x may close a server that is garbage collected
    private final List<LongPoll> longPolls = new ArrayList<>();
    private final Map<String, String> phases = new HashMap<>(); // by server, as discovery lists them
    private final Map<String, Long> startedAtMs = new HashMap<>();
    private final List<Runnable> listListeners = new ArrayList<>();
    private int revision = 1;
    private int healthChecks;

    /** Notified when a request reaches a server ({@code started} is true) and when it ends there (false). */
    public interface RequestListener {
        void onRequest(String request, String server, long now, boolean started);
    }

    /** A discovery request that is answered at the next change or when its hold time ends. */
    private record LongPoll(HttpServerResponse response, String gateway) {}

    /** @param listDelayMs time between a change and its appearance in the endpoint list */
    public TestCluster(Vertx vertx, GroupModel model, Ledger ledger, List<String> ids, long listDelayMs) {
        this.vertx = vertx;
        this.model = model;
        this.ledger = ledger;
        this.ids = ids;
        this.listDelayMs = listDelayMs;
    }

    /** Starts the servers; the future completes when all accept connections. */
    public Future<Void> startServers() {
        Future<Void> started = Future.succeededFuture();
        for (String id : ids) {
            openSockets.put(id, new HashSet<>());
            phases.put(id, "SERVING");
            startedAtMs.put(id, 0L);
            started = started.compose(x -> vertx.createNetServer()
                    .connectHandler(s -> new Connection(id, s))
                    .listen(0, "127.0.0.1")
                    .map(s -> {
                        listeners.add(s);
                        ports.put(id, s.actualPort());
                        return null;
                    }));
        }
        return started;
    }

    /** Returns the port on which a server listens. */
    public int port(String server) {
        return ports.get(server);
    }

    /** Makes the endpoint list of this gateway name that port for the server from now on. */
    public void setServerPort(String gateway, String server, int port) {
        overriddenPorts.put(gateway + " " + server, port);
    }

    /** Sets who is notified of the requests at the servers. */
    public void setRequestListener(RequestListener listener) {
        requestListener = listener;
    }

    /** Sets which gateways discovery can reach now; answers to any other do not count as received. */
    public void setDiscoveryReachable(Predicate<String> gateways) {
        discoveryReachable = gateways;
    }

    /** Starts discovery for one gateway; the future returns its port. */
    public Future<Integer> startDiscovery(String gateway) {
        return vertx.createHttpServer()
                .requestHandler(r -> {
                    String from = r.getParam("from");
                    if (from == null || Integer.parseInt(from) != revision) {
                        answer(r.response(), gateway, from == null);
                        return;
                    }
                    LongPoll poll = new LongPoll(r.response(), gateway);
                    longPolls.add(poll);
                    vertx.setTimer(Math.max(1, Long.parseLong(r.getParam("hold_ms"))), x -> {
                        if (longPolls.remove(poll)) {
                            r.response().end("{\"revision\":" + revision + ",\"complete\":false,\"members\":[]}");
                        }
                    });
                })
                .listen(0, "127.0.0.1")
                .map(s -> {
                    listeners.add(s);
                    return s.actualPort();
                });
    }

    private void answer(HttpServerResponse response, String gateway, boolean complete) {
        response.end(endpointList(gateway, true)); // the protocol allows a complete list as any answer
        phases.forEach((id, p) -> {
            if (p.equals("DRAINING") && discoveryReachable.test(gateway)) {
                ledger.drainReported(gateway, id, Clock.system().now());
            }
        });
    }

    /** Returns the endpoint list with the actual ports of the servers. */
    public String endpointList(boolean complete) {
        return endpointList("", complete);
    }

    /** Returns the endpoint list for this gateway, as JSON. */
    public String endpointList(String gateway, boolean complete) {
        StringBuilder b =
                new StringBuilder("{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[");
        List<String> entries = listedServers().stream()
                .filter(ListedServer::isListed)
                .map(server -> endpointEntry(gateway, server))
                .toList();
        return b.append(String.join(",", entries)).append("]}").toString();
    }

    /** Returns the entry of a server in the endpoint list for this gateway, as JSON. */
    public String endpointEntry(String gateway, ListedServer server) {
        String id = server.id();
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:"
                + overriddenPorts.getOrDefault(gateway + " " + id, ports.get(id))
                + "\",\"locality\":\"here\",\"cell\":0,\"phase\":\"" + server.phase() + "\",\"rank\":\""
                + (id.equals(ids.get(0)) ? "source" : "copy") + "\",\"up_since_ms\":" + server.startedAtMs() + "}";
    }

    /** Returns all servers that were ever listed, removed ones included. */
    public List<ListedServer> listedServers() {
        return ids.stream()
                .map(id -> new ListedServer(id, phases.get(id), startedAtMs.get(id)))
                .toList();
    }

    /** Returns the revision of the endpoint list; each change raises it by one. */
    public int revision() {
        return revision;
    }

    /** Registers an action that runs after each change of the endpoint list. */
    public void onListChange(Runnable listener) {
        listListeners.add(listener);
    }

    private void changeListLater(Runnable change) {
        vertx.setTimer(Math.max(1, listDelayMs), x -> {
            change.run();
            revision++;
            List<LongPoll> pending = List.copyOf(longPolls);
            longPolls.clear();
            pending.forEach(poll -> answer(poll.response(), poll.gateway(), false));
            listListeners.forEach(Runnable::run);
        });
    }

    /** Injects a fault into a server. Its connections stay open unless it refuses connections. */
    public void injectFault(String id, Fault fault) {
        model.fault(Clock.system().now(), id, fault);
        if (fault == Fault.REFUSING) {
            List.copyOf(openSockets.get(id)).forEach(NetSocket::close);
        }
    }

    /** Ends a fault; a restart also closes the connections and, after the list delay, changes the listed start time. */
    public void recoverServer(String id, boolean restarted) {
        long now = Clock.system().now();
        model.heal(now, id, restarted);
        if (restarted) {
            List.copyOf(openSockets.get(id)).forEach(NetSocket::close);
            changeListLater(() -> startedAtMs.put(id, now / 10));
        }
    }

    /** Drains a server; the endpoint list shows it after the list delay. */
    public void drainServer(String id) {
        model.drain(Clock.system().now(), id);
        changeListLater(() -> phases.put(id, "DRAINING"));
    }

    /** Stops a server; it leaves the endpoint list after the list delay. */
    public void removeServer(String id) {
        injectFault(id, Fault.REFUSING);
        changeListLater(() -> phases.put(id, "DELETED"));
    }

    /** Restarts a server under its id; the endpoint list shows it as serving after the list delay. */
    public void relistServer(String id) {
        recoverServer(id, true);
        changeListLater(() -> phases.put(id, "SERVING"));
    }

    public int healthChecks() {
        return healthChecks;
    }

    public void close() {
        listeners.forEach(x -> {
            if (x instanceof NetServer s) {
                s.close();
            }
        });
    }

    /** One connection to a server. */
    private final class Connection {
        private final String server;
        private final NetSocket socket;
        private final Set<String> inFlight = new HashSet<>(); // ids of requests
        private Buffer unparsed = Buffer.buffer();
        private boolean started; // its startup message has arrived
        private boolean closed;

        private Connection(String server, NetSocket socket) {
            this.server = server;
            this.socket = socket;
            if (model.server(server).fault() == Fault.REFUSING) {
                socket.close();
                return;
            }
            openSockets.get(server).add(socket);
            socket.handler(this::onBytes);
            socket.exceptionHandler(e -> {});
            socket.closeHandler(x -> {
                closed = true;
                openSockets.get(server).remove(socket);
                inFlight.forEach(request -> requestEnded(request, Clock.system().now()));
            });
        }

        private boolean unresponsive() {
            return model.server(server).fault() == Fault.SILENT;
        }

        private void onBytes(Buffer received) {
            unparsed.appendBuffer(received);
            int offset = 0;
            for (int typeBytes = started ? 1 : 0; unparsed.length() - offset >= typeBytes + 4; typeBytes = 1) {
                int length = unparsed.getInt(offset + typeBytes);
                if (unparsed.length() - offset < typeBytes + length) {
                    break;
                }
                if (!started) {
                    started = true;
                    if (!unresponsive()) {
                        socket.write(MessageWriter.startupResponse());
                    }
                } else if (unparsed.getByte(offset) == 'Q') {
                    onQuery(unparsed.getString(offset + 5, offset + length, "UTF-8"));
                }
                offset += typeBytes + length;
            }
            unparsed = unparsed.getBuffer(offset, unparsed.length());
        }

        private void onQuery(String sql) {
            long now = Clock.system().now();
            if (sql.startsWith("SHOW") || sql.startsWith("SELECT 1")) {
                healthChecks++;
                if (!unresponsive()) {
                    socket.write(row(now, report(now).getBytes(StandardCharsets.UTF_8), model.position(now, server)));
                }
                return;
            }
            Matcher requestId = REQUEST_ID.matcher(sql);
            if (!requestId.find()) {
                socket.write(MessageWriter.errorResponse("08P01", "not a client's words", null, true, false));
                socket.close();
                return;
            }
            String request = requestId.group(1);
            Matcher key = KEY.matcher(sql);
            boolean write = sql.startsWith("INSERT");
            ledger.attemptReceived(request, server, now);
            requestListener.onRequest(request, server, now, true);
            Execution work = model.arrive(now, server, request, write, null);
            if (work.overloaded()) {
                ledger.serverOverloaded(server);
            }
            switch (work.disposition()) {
                case NOT_PRIMARY -> reject(request, "25006");
                case QUEUE_FULL -> reject(request, "53300");
                case CONNECTION_REFUSED -> socket.close();
                case UNRESPONSIVE -> inFlight.add(request);
                default -> {
                    inFlight.add(request);
                    String value = key.find() ? key.group(1) : "";
                    vertx.setTimer(Math.max(1, (work.doneAt() - now + 9) / 10), x -> complete(work, value));
                }
            }
        }

        private void requestEnded(String request, long now) {
            ledger.attemptEnded(request);
            requestListener.onRequest(request, server, now, false);
        }

        /** Answers a request that was not executed. */
        private void reject(String request, String code) {
            ledger.attemptRejected(request);
            requestListener.onRequest(request, server, Clock.system().now(), false);
            socket.write(MessageWriter.errorResponse(code, "no", null, false, true));
        }

        private void complete(Execution work, String value) {
            if (closed && !work.write()) {
                return; // the server cancels a read when its connection closes
            }
            long now = Clock.system().now();
            Completion done = model.complete(now, work);
            if (done.applied()) {
                ledger.applied(work.request(), done.position());
            }
            if (closed || !done.answered()) {
                return;
            }
            inFlight.remove(work.request());
            requestEnded(work.request(), now);
            if (!work.write()) {
                ledger.readServed(work.request(), done.position(), work.arrivedAt());
                ledger.sessionReadServed(work.request(), done.position());
            }
            socket.write(
                    done.corrupt()
                            ? Buffer.buffer("#~noise~#")
                            : row(now, value.getBytes(StandardCharsets.UTF_8), done.position()));
        }

        /** Returns the answer to a query: session parameters with the load report, and one row. */
        private Buffer row(long now, byte[] value, long position) {
            Buffer b = Buffer.buffer();
            MessageWriter.parameterStatus(b, "rank", isPrimary(now) ? "source" : "copy");
            MessageWriter.parameterStatus(b, "as_of", Long.toString(Math.floorDiv(position, 10)));
            MessageWriter.parameterStatus(b, "vitals", report(now));
            return b.appendBuffer(MessageWriter.resultRow(new ResultRow(
                    new ServerMessage.RowDescription("val", 0, (short) 0, OID_BYTES, (short) -1, -1, (short) 1),
                    value,
                    "SELECT 1")));
        }

        private boolean isPrimary(long now) {
            return server.equals(model.primary(now));
        }

        private String report(long now) {
            return String.format(
                    Locale.ROOT,
                    "x0=%.3f,x1=%d,util=%.2f",
                    model.position(now, server) / 10_000.0 - 0.0005,
                    isPrimary(now) ? 1 : 0,
                    model.server(server).utilization(now));
        }
    }
}
