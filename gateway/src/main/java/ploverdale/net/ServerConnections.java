package ploverdale.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import ploverdale.clock.ServerClock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.log.Log;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.net.postgres.ServerMessageReader;
import ploverdale.settings.GatewaySettings;

/**
 * Owns the connections to database servers: opens, reuses and closes them, writes each send or probe once, and
 * tells how it ended with how far it had come. Must never choose a server, repeat anything, write what no send
 * or probe asked for, or let a late answer reach another op: giving up closes the connection.
 */
public final class ServerConnections {
    /** How far a send had come. What is not written whole has not run; after that it may have. */
    public enum Reach {
        NO_CONNECTION,
        NOT_WRITTEN,
        IN_DOUBT,
        WRITTEN
    }

    /** How a send ended. The row is there when it was acked; note and report may be null. */
    public record AttemptEnd(
            Outcome outcome, Reach reach, ResultRow row, LoadReport note, LoadReport report, long took) {}

    /** Hears the outcome of a send or probe, once. */
    public interface AttemptListener {
        void ended(AttemptEnd outcome);
    }

    /** What a send or probe writes, given the wait that is left, at least 1. */
    public interface RequestEncoder {
        Buffer bytes(long waitMs);
    }

    private static final int IDLE_PARTS = 5; // an idle connection is closed with a fifth of its time left
    private static final int SURPLUS_PARTS = 8; // of that time, for one where another is idle, too
    private static final int TOLD_MOST = 64; // a bound on memory; an answer tells a few
    private static final int BESIDE_MOST = 1000; // values told and notices beside one answer, or between two
    private static final long LONG_IDLE =
            20_000; // as long as a server counts as heard; a probe goes before the next request
    private static final long PROBE_PATIENCE_MS =
            100; // many times what a probe takes, short beside what a request may take
    private static final long REST = 50; // after an answer, in tenths of a ms; a close behind it has come by then
    private static final int TENTHS_A_MS = 10;
    private static final int OPEN_TRIES = 10; // for room
    private static final long OPEN_AGAIN_MS = 2;
    private static final String TURNED_OFF = "53300"; // queue full, too many connections, draining
    private static final int LOOKS = 50; // for idle connections, in the time that one may be idle

    private final Vertx vertx;
    private final Log log;
    private final GatewaySettings settings;
    private final ConnectionLimits<?> limits;
    private final BooleanSupplier makeRoom;
    private final ServerClock time;
    private final NetClient net;
    private final Map<ServerId, Server> servers = new HashMap<>();
    private final Map<RequestId, Attempt> byOp = new HashMap<>();
    private final Set<Connection> idle = new LinkedHashSet<>(); // longest first
    private final IdleConnectionLossRate losses = new IdleConnectionLossRate();

    ServerConnections(
            Vertx vertx,
            Log log,
            GatewaySettings settings,
            ConnectionLimits<?> limits,
            BooleanSupplier makeRoom,
            ServerClock time) {
        this.vertx = vertx;
        this.log = log;
        this.settings = settings;
        this.limits = limits;
        this.makeRoom = makeRoom;
        this.time = time;
        net = vertx.createNetClient(new NetClientOptions()
                .setConnectTimeout((int) ((settings.connectLimit() + 9) / 10))
                .setReconnectAttempts(0)
                .setTcpNoDelay(true));
        vertx.setPeriodic(Math.max(10, settings.idleLimit() / 10 / LOOKS), x -> closeOld());
    }

    private static final class Server {
        private final ServerId id;
        private final Deque<Connection> free = new ArrayDeque<>(); // latest last
        private final Set<Attempt> waiting = new LinkedHashSet<>();
        private InetSocketAddress address;

        private Server(ServerId id) {
            this.id = id;
        }
    }

    /** One send or probe under way. */
    private final class Attempt {
        private final RequestId request;
        private final Server server;
        private final BooleanSupplier wanted; // right before it is written
        private final RequestEncoder text;
        private final AttemptListener ear;
        private final long startedAt = time.now();
        private final long limit;
        private final long timer;
        private Connection on;
        private Reach reach = Reach.NO_CONNECTION;
        private boolean over;
        private int opensLeft = OPEN_TRIES;
        private boolean lacksLocally; // descriptors, ports or the like kept its connection from being made
        private long silentAfter =
                -1; // idle time of the connection that this probe was moved from; below 0: it was not

        private Attempt(
                RequestId request,
                Server server,
                long limit,
                BooleanSupplier wanted,
                RequestEncoder text,
                AttemptListener ear) {
            this.wanted = wanted;
            this.request = request;
            this.server = server;
            this.limit = limit;
            this.text = text;
            this.ear = ear;
            timer = vertx.setTimer(Math.max(1, (limit + 9) / 10), x -> giveUp(this, Outcome.TIMED_OUT));
        }

        private void end(Outcome outcome, ResultRow row, LoadReport note, LoadReport report) {
            if (over) {
                return;
            }
            over = true;
            vertx.cancelTimer(timer);
            server.waiting.remove(this);
            if (request != null) {
                byOp.remove(request, this);
            }
            ear.ended(new AttemptEnd(outcome, reach, row, note, report, Math.max(0, time.now() + 1 - startedAt)));
        }
    }

    /** Where a server is reached; connections to an older address end when idle. */
    public void reachedAt(ServerId id, InetSocketAddress address) {
        Server s = servers.computeIfAbsent(id, Server::new);
        if (!address.equals(s.address)) {
            s.address = address;
            closeIdle(id);
        }
    }

    /**
     * Writes the text to the server on a free connection, or on a new one; the limit is in tenths of a ms. It counts as never
     * sent if it is not wanted any more when its connection is there.
     */
    public void send(
            RequestId request,
            ServerId id,
            long limit,
            BooleanSupplier wanted,
            RequestEncoder text,
            AttemptListener ear) {
        Server s = servers.computeIfAbsent(id, Server::new);
        Attempt x = new Attempt(request, s, limit, wanted, text, ear);
        if (request != null) {
            byOp.put(request, x);
        }
        assign(s, x);
    }

    /** Writes to a free connection, or to a new one once it is up. */
    private void assign(Server s, Attempt x) {
        Connection c = free(s);
        if (c != null) {
            s.free.remove(c);
            idle.remove(c);
            c.write(x);
            return;
        }
        s.waiting.add(x);
        openOrWait(s, x);
    }

    /** Opens a connection, perhaps once others have given back their descriptors; a free one may come first. */
    private void openOrWait(Server s, Attempt x) {
        if (x.over || x.on != null || open(s, x)) {
            return;
        }
        x.lacksLocally = s.address != null;
        if (s.address == null || !openAgainLater(s, x)) {
            log.often("no room for a connection", "to server " + s.id.text() + ", " + limits.servers() + " to servers");
            x.end(unsentOutcome(x, Outcome.CONNECT_FAILED), null, null, null);
        }
    }

    /** Opens a connection a moment later, or takes one that is free by then; false where that was done often enough. */
    private boolean openAgainLater(Server s, Attempt x) {
        if (x.opensLeft == 0) {
            return false;
        }
        x.opensLeft--;
        vertx.setTimer(OPEN_AGAIN_MS, y -> openOrWait(s, x));
        return true;
    }

    /**
     * The outcome of an attempt that found no connection. A request was never sent, whatever the cause; a health check says
     * nothing about its server only where the cause was a local one.
     */
    private static Outcome unsentOutcome(Attempt x, Outcome ofServer) {
        return x.request != null || x.lacksLocally ? Outcome.NEVER_SENT : ofServer;
    }

    /**
     * The connection for the next send, or null. Guards against those closed right behind an answer, by taking one that
     * has rested for a moment where there is one, and against those that the way has forgotten, by leaving out what has
     * been idle for as long as many that were lost at their next send. One on which the server had too much must have rested.
     */
    private Connection free(Server s) {
        long now = time.now();
        Connection best = null;
        for (Connection c : List.copyOf(s.free)) { // latest last
            long rested = now - c.idleSince;
            if (losses.tooMany(rested, now)) {
                c.close();
            } else if (best == null && !c.mayClose || rested >= REST) {
                best = c;
            }
        }
        return best;
    }

    /** How many kept connections were lately lost at their next send, by how long they had been idle. */
    private static final class IdleConnectionLossRate {
        private static final long FIRST = 500; // doubled a step; shorter rests are not judged
        private static final double NEWEST = 0.1;
        private static final double TOO_MANY = 0.3; // more than resets by chance would make
        private static final double FADES_IN = 100_000; // then such connections are tried again
        private final double[] share = new double[24];
        private final long[] at = new long[24];

        private static int step(long rested) {
            return 64 - Long.numberOfLeadingZeros(Math.max(0, rested / FIRST));
        }

        private boolean tooMany(long rested, long now) {
            int step = Math.min(step(rested), share.length - 1);
            return step > 0 && share[step] * Math.exp(-(now - at[step]) / FADES_IN) > TOO_MANY;
        }

        private void learn(long rested, boolean lost, long now) {
            int step = Math.min(step(rested), share.length - 1);
            share[step] *= Math.exp(-(now - at[step]) / FADES_IN);
            share[step] += NEWEST * ((lost ? 1 : 0) - share[step]);
            at[step] = now;
        }
    }

    /**
     * A probe: how the server is, in as long as a connection may take to make. Where it goes to a connection that has been idle for
     * long and is not answered soon, it moves to a new one: the server or the way may have forgotten the old one.
     */
    public void probe(ServerId id, AttemptListener ear) {
        Server s = servers.computeIfAbsent(id, Server::new);
        Attempt x = new Attempt(
                null,
                s,
                settings.connectLimit(),
                () -> true,
                waitMs -> MessageWriter.healthCheck(settings.reportsInHealthChecks()),
                ear);
        assign(s, x);
        if (x.on != null && x.on.rest >= LONG_IDLE) {
            vertx.setTimer(PROBE_PATIENCE_MS, y -> moveSilentProbe(x));
        }
    }

    private void moveSilentProbe(Attempt probe) {
        if (!probe.over && probe.on != null && probe.silentAfter < 0) {
            NioSockets.readNow(probe.on.socket); // its answer may have come during a pause of this process
        }
        if (!probe.over && probe.on != null && probe.silentAfter < 0) {
            moveProbe(probe);
        }
    }

    /** Gives up the connection of a probe, and opens a new one for it. */
    private void moveProbe(Attempt probe) {
        Connection old = probe.on;
        probe.silentAfter = old.rest;
        old.sending = null;
        old.close();
        probe.on = null;
        probe.reach = Reach.NO_CONNECTION;
        probe.server.waiting.add(probe);
        probe.opensLeft = OPEN_TRIES;
        openOrWait(probe.server, probe);
    }

    /** A connection was found dead after this idle time though its server lives: those that were idle for as long are closed. */
    private void forgotten(Server s, long rest) {
        long now = time.now();
        losses.learn(rest, true, now);
        for (Connection c : List.copyOf(s.free)) {
            if (rest >= LONG_IDLE && now - c.idleSince >= rest) {
                c.close();
            }
        }
    }

    /** Stops waiting for the op's send, if one is out. */
    public void cancel(RequestId request) {
        Attempt x = byOp.get(request);
        if (x != null) {
            giveUp(x, Outcome.CANCELLED);
        }
    }

    public void closeIdle(ServerId id) {
        Server s = servers.get(id);
        if (s != null) {
            List.copyOf(s.free).forEach(Connection::close);
        }
    }

    /** Closes the connection that has been idle longest; false where none is idle. */
    public boolean closeLongestIdle() {
        if (idle.isEmpty()) {
            return false;
        }
        idle.iterator().next().close();
        return true;
    }

    /** What was not written whole has not run, whoever stopped waiting. */
    private void giveUp(Attempt x, Outcome outcome) {
        if (x.over) {
            return;
        }
        Connection c = x.on;
        if (c != null) {
            c.sending = null;
            c.close();
        }
        boolean unwritten = x.reach == Reach.NO_CONNECTION || x.reach == Reach.NOT_WRITTEN;
        x.end(unwritten ? unsentOutcome(x, outcome) : outcome, null, null, null);
    }

    private void closeOld() {
        long keep = settings.idleLimit() - settings.idleLimit() / IDLE_PARTS;
        long now = time.now();
        while (!idle.isEmpty() && now - idle.iterator().next().idleSince > keep) {
            idle.iterator().next().close();
        }
        // Guards against many gateways that together hold more connections than a server has: one more than is in use
        // is
        // kept for long, others for a shorter while.
        for (Server s : servers.values()) {
            while (s.free.size() > 1 && now - s.free.peekFirst().idleSince > keep / SURPLUS_PARTS) {
                s.free.peekFirst().close();
            }
        }
    }

    private boolean open(Server s, Attempt opener) {
        if (s.address == null || !makeRoom.getAsBoolean()) {
            return false;
        }
        opener.lacksLocally = false;
        new Connection(s, opener).open();
        return true;
    }

    /** One connection; carries one send or probe at a time. */
    private final class Connection {
        private final Server server;
        private final InetSocketAddress address;
        private final Attempt opener;
        private final ServerMessageReader stream = new ServerMessageReader();
        private NetSocket socket;
        private boolean up;
        private boolean ready; // but what has come with the answer is not looked through yet
        private boolean rested;
        private boolean mayClose; // the server said that it has too many, perhaps of these
        private boolean closed;
        private long openTimer;
        private long idleSince;
        private long rest = -1; // before the send that is out; below 0: it is the first

        private Attempt sending;
        private int saidBeside;
        private final Map<String, String> told = new HashMap<>();
        private ServerMessage.RowDescription column;
        private ServerMessage.DataRow value;
        private ServerMessage.CommandComplete done;
        private ServerMessage.ErrorResponse problem;
        private long writtenAt;

        private Connection(Server server, Attempt opener) {
            this.server = server;
            this.address = server.address;
            this.opener = opener;
            limits.opened();
        }

        private void open() {
            openTimer = vertx.setTimer(
                    (settings.connectLimit() + 9) / 10, x -> lost("not up in time", Outcome.CONNECT_FAILED));
            net.connect(SocketAddress.inetSocketAddress(address)).onComplete(r -> {
                if (r.failed()) {
                    connect(r.cause());
                    return;
                }
                socket = r.result();
                if (closed) {
                    socket.close();
                    return;
                }
                socket.exceptionHandler(e -> {}); // the close that follows tells
                socket.closeHandler(x -> lost("closed by the server"));
                socket.handler(b -> {
                    try {
                        bytes(b);
                    } catch (RuntimeException e) { // ends here: this connection, nothing else
                        log.fault("server connection fault", e);
                        lost("fault");
                    }
                });
                socket.write(MessageWriter.startup()).onFailure(this::connect);
            });
        }

        private void bytes(Buffer more) {
            stream.feed(more);
            for (ServerMessage m = closed ? null : stream.next(); m != null; m = closed ? null : stream.next()) {
                message(m);
            }
            if (ready && !closed) {
                ready = false;
                if (stream.held() > 0) {
                    outOfOrder("noise behind an answer");
                } else {
                    free();
                }
            }
        }

        private void message(ServerMessage m) {
            // Guards against a server that says ever more and answers nothing, also on a connection that nobody uses.
            boolean beside = m instanceof ServerMessage.Ignorable || m instanceof ServerMessage.ParameterStatus;
            if (beside && ++saidBeside > BESIDE_MOST) {
                outOfOrder(BESIDE_MOST + " values and notices beside an answer");
            } else if (m instanceof ServerMessage.Malformed g) {
                outOfOrder(g.what());
            } else if (m instanceof ServerMessage.Ignorable) {
                return;
            } else if (m instanceof ServerMessage.ParameterStatus t) {
                if (told.size() >= TOLD_MOST) {
                    outOfOrder(TOLD_MOST + " values told before an answer");
                }
                told.put(t.name(), t.value());
            } else if (!up) {
                if (m instanceof ServerMessage.ReadyForQuery) {
                    vertx.cancelTimer(openTimer);
                    up = true;
                    ready = true;
                } else if (m instanceof ServerMessage.ErrorResponse p) {
                    lost("refused with " + p.code(), Outcome.CONNECT_FAILED);
                } else if (!(m instanceof ServerMessage.AuthenticationOk)) {
                    outOfOrder("an answer before any query");
                }
            } else if (sending == null) {
                // Guards against answers nobody asked for: they must not reach the next op.
                outOfOrder("an answer without a query");
            } else if (m instanceof ServerMessage.RowDescription c
                    && column == null
                    && done == null
                    && problem == null) {
                column = c;
            } else if (m instanceof ServerMessage.DataRow v && column != null && value == null && done == null) {
                value = v;
            } else if (m instanceof ServerMessage.CommandComplete d && done == null && problem == null) {
                done = d;
            } else if (m instanceof ServerMessage.ErrorResponse p && done == null && problem == null) {
                problem = p;
            } else if (m instanceof ServerMessage.ReadyForQuery r && (done != null || problem != null)) {
                mayClose = problem != null && TURNED_OFF.equals(problem.code());
                finish();
                ready = r.idle();
                if (!ready) {
                    close();
                }
            } else {
                outOfOrder("an answer out of order");
            }
        }

        /** Guards against spoilt answers: the server lives and may have run the op, but nothing it says here is used. */
        private void outOfOrder(String what) {
            log.often("server out of order", server.id.text() + ": " + what);
            Attempt x = sending;
            if (x == null) {
                lost(what);
            } else {
                close();
                x.end(Outcome.FAILED, null, null, null);
            }
        }

        private void write(Attempt x) {
            // Rounded down: the server must not be told more time than its client has left.
            long leftMs = (x.limit - (time.now() - x.startedAt)) / TENTHS_A_MS;
            if (leftMs <= 0 || !x.wanted.getAsBoolean()) {
                x.on = this;
                x.end(Outcome.NEVER_SENT, null, null, null);
                free();
                return;
            }
            sending = x;
            rested = false;
            rest = idleSince == 0 ? -1 : time.now() - idleSince;
            x.on = this;
            x.reach = Reach.IN_DOUBT;
            told.clear();
            saidBeside = 0;
            column = null;
            value = null;
            done = null;
            problem = null;
            writtenAt = time.now();
            socket.write(x.text.bytes(leftMs)).onComplete(r -> {
                x.reach = r.succeeded() ? Reach.WRITTEN : Reach.NOT_WRITTEN;
                if (r.failed()) {
                    lost("not written whole", ConnectionFailure.of(r.cause()).outcome());
                }
            });
        }

        /** Takes the next send that waits, its own opener first, or is idle. */
        private void free() {
            Attempt next = opener.over || opener.on != null
                    ? server.waiting.stream().findFirst().orElse(null)
                    : opener;
            if (next == opener) {
                server.waiting.remove(next);
                write(next);
            } else if (next != null && !rested) {
                // Guards against a surplus answer read after this one: it must come before the next op is written.
                rested = true;
                vertx.runOnContext(x -> {
                    if (!closed) {
                        free();
                    }
                });
            } else if (next != null) {
                server.waiting.remove(next);
                write(next);
            } else if (!address.equals(server.address)) {
                close();
            } else {
                idleSince = time.now();
                server.free.addLast(this);
                idle.add(this);
            }
        }

        /** Tells the answer that has come. */
        private void finish() {
            Attempt x = sending;
            sending = null;
            if (rest >= 0) {
                losses.learn(rest, false, time.now());
            }
            if (x.silentAfter >= 0) {
                forgotten(server, x.silentAfter);
            }
            LoadReport note = note();
            LoadReport report = settings.reportsInAnswers() ? report(server.id, told.get("vitals"), writtenAt) : null;
            boolean probe = x.request == null;
            if (problem != null) {
                x.end(outcome(problem.code(), probe), null, note, report);
            } else if (value == null) {
                x.end(Outcome.FAILED, null, note, report);
            } else if (probe) {
                LoadReport asked =
                        settings.reportsInHealthChecks() ? report(server.id, text(value.bytes()), writtenAt) : null;
                x.end(Outcome.SUCCEEDED, null, note, asked != null ? asked : report);
            } else {
                x.end(Outcome.SUCCEEDED, new ResultRow(column, value.bytes(), done.tag()), note, report);
            }
        }

        private void close() {
            if (!closed) {
                closed = true;
                limits.released();
                vertx.setTimer(1, x -> limits.closed());
                vertx.cancelTimer(openTimer);
                server.free.remove(this);
                idle.remove(this);
                if (socket != null) {
                    socket.close();
                }
            }
        }

        /**
         * No connection was made. Only what was refused or took too long counts against the server; what may be over in a
         * moment is tried again first.
         */
        private void connect(Throwable e) {
            ConnectionFailure failure = ConnectionFailure.of(e);
            opener.lacksLocally = failure == ConnectionFailure.LOCAL;
            if (!closed
                    && failure.isTransient()
                    && !opener.over
                    && opener.on == null
                    && openAgainLater(server, opener)) {
                log.often("connection not made yet", server.id.text() + " " + e.getMessage());
                close();
            } else {
                lost(String.valueOf(e.getMessage()), failure.outcome());
            }
        }

        /** The connection has ended; what was out on it ends with it. */
        private void lost(String why) {
            lost(why, Outcome.CONNECT_INTERRUPTED);
        }

        /** The same; the outcome is that of a send not written whole. */
        private void lost(String why, Outcome unwritten) {
            if (closed) {
                return;
            }
            close();
            Attempt x = up ? sending : opener;
            if (x == null || x.over || !up && x.on != null) {
                return;
            }
            log.often("connection lost", server.id.text() + " " + why + ", " + (up ? x.reach : Reach.NO_CONNECTION));
            if (up && (problem != null || done != null && value != null)) {
                finish();
                return;
            }
            if (up && column == null && rest >= 0) {
                forgotten(server, rest);
            }
            if (up && x.request == null && rest >= LONG_IDLE && x.silentAfter < 0) {
                moveProbe(x);
                return;
            }
            boolean written = x.reach == Reach.IN_DOUBT || x.reach == Reach.WRITTEN;
            x.end(written ? Outcome.CONNECTION_LOST : unwritten, null, null, null);
        }

        private LoadReport note() {
            Role role = role(told.get("rank"));
            double told = number(this.told.get("as_of"));
            long position = Double.isNaN(told) ? LoadReport.UNKNOWN_TIME : (long) Math.floor(told) * 10;
            if (position != LoadReport.UNKNOWN_TIME) {
                time.observePosition(server.id, position, writtenAt, role == Role.PRIMARY);
                position = time.isAhead(position) ? LoadReport.UNKNOWN_TIME : time.position(position);
            }
            return role == Role.UNKNOWN && position == LoadReport.UNKNOWN_TIME ? null : new LoadReport(role, position);
        }
    }

    private static Outcome outcome(String code, boolean probe) {
        return switch (code) {
            case TURNED_OFF -> Outcome.REJECTED;
            case "57P03" -> probe ? Outcome.REJECTED : Outcome.FAILED;
            case "25006", "72000" -> Outcome.MISDIRECTED;
            default -> Outcome.FAILED;
        };
    }

    private static Role role(String word) {
        return "source".equals(word) ? Role.PRIMARY : "copy".equals(word) ? Role.REPLICA : Role.UNKNOWN;
    }

    /**
     * A load report as text, its positions in Unix seconds. Guards against reports that would mislead: one that is in any
     * part misshapen, of the future, or from before the server made its first counts as not told.
     */
    private LoadReport report(ServerId server, String text, long writtenAt) {
        if (text == null) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        for (String part : text.split(",")) {
            int equals = part.indexOf('=');
            double v =
                    equals < 0 ? Double.NaN : number(part.substring(equals + 1).trim());
            if (Double.isNaN(v) || v < 0) {
                return null;
            }
            values.put(part.substring(0, equals).trim(), v);
        }
        Double position = values.get("x0");
        Double role = values.get("x1");
        if (position != null && position <= 0 || role != null && role != 0 && role != 1) {
            return null;
        }
        LoadReport told = GatewaySettings.report(position, role, values.getOrDefault("util", values.get("busy")), 0);
        if (position == null) {
            return told;
        }
        time.observePosition(server, told.position(), writtenAt, false); // made some time ago, by a primary too
        return time.isAhead(told.position())
                ? null
                : new LoadReport(told.role(), time.position(told.position()), told.busy());
    }

    private static String text(byte[] bytes) {
        return bytes == null || bytes.length > 1024 ? null : new String(bytes, java.nio.charset.StandardCharsets.UTF_8);
    }

    private static double number(String text) {
        try {
            double v = text == null || text.length() > 24 ? Double.NaN : Double.parseDouble(text);
            return Math.abs(v) < 1e14 ? v : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
