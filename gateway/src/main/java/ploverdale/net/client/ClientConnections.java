package ploverdale.net.client;

import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import ploverdale.limits.ConnectionLimits;
import ploverdale.log.Log;
import ploverdale.model.Event;
import ploverdale.model.GroupId;
import ploverdale.model.RequestClass;
import ploverdale.model.RequestClass.Consistency;
import ploverdale.model.RequestClassId;
import ploverdale.model.RequestId;
import ploverdale.model.SessionId;
import ploverdale.model.TenantId;
import ploverdale.net.NioSockets;
import ploverdale.net.RouterEventLoop;
import ploverdale.net.ServerClock;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.ClientMessageReader;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.settings.GatewaySettings;
import ploverdale.shutdown.Traffic;

/**
 * Owns the clients' connections and the ops taken from them: reads queries, tells the module of each op, and
 * writes one answer for each command in the order of the commands. Must never decide an op's fate, answer an op
 * twice, or keep more of a client that does not read than its bounds allow.
 */
public final class ClientConnections {
    private static final int AHEAD_MOST = 8; // commands of one client taken before their answers are out
    // Bytes of requests of one client that wait behind these; further requests are refused. The end of a connection
    // comes
    // behind its bytes, so a client that has closed is known only once all that it wrote has been read.
    private static final int READ_AHEAD_MOST = 64 * 1024;
    private static final int QUEUED_COST = 64; // bytes that a queued message takes beside its text
    private static final int QUEUED_MOST = 4 * READ_AHEAD_MOST; // then no more is read, and what is queued is refused
    private static final int BEHIND_MOST = 1000; // requests answered behind a message that ends the connection
    // An attempt may begin up to 100 ms after its client closed; a connection read longer ago than this is read once
    // more first.
    private static final long READ_LATELY_MS = 20;
    private static final int DROPPED_MOST = 64 * 1024; // of what a client writes after its end
    private static final long PARTING_MS = 500; // for a client to close, too, once its connection has been ended here
    private static final long GREETING_WAIT_MS =
            100; // of a connection that is refused, for what its client has written
    private static final long LOOK_MS = 20;
    private static final long LAST_RESORT_MS = 250; // after a request's time; half of what an answer may be late
    private static final long SILENT_MS = 20; // for a greeting, once the gateway ends connections
    private static final double TRAFFIC_FADES_MS = 1000;
    private static final long LOAD_MOST = 16 * 1024 * 1024; // see makeLighter
    private static final int READS_MOST = 4; // of a connection at a time
    private static final String BUSY = "53300";
    private static final ClientMessage.InvalidQuery TOO_MUCH =
            new ClientMessage.InvalidQuery(BUSY, "too many requests at once, trying again does no harm", false);
    private static final ClientMessage.InvalidQuery CANCELED = new ClientMessage.InvalidQuery(
            "57014", "canceled on the client's request; whether it ran is not known", false);
    private static final String ENDS_SOON = "this gateway ends, trying again does no harm";
    private static final long UNREAD_LEAST_MS =
            5000; // for a client to read on, or as long as an op may take, before it is closed

    /** Who looks up, before the module hears of an op, what the fleet knows of its past; it tells the module of it. */
    public interface RequestHistoryLookup {
        void arrives(Event.RequestArrived request, String key);
    }

    /** An op in hand. */
    public static final class AcceptedRequest {
        private final ClientMessage.RequestQuery ask;
        private final Session session;
        private final PendingResponse slot;
        private final long lastResortMs;
        private int sends;

        private AcceptedRequest(
                ClientMessage.RequestQuery ask, Session session, PendingResponse slot, long lastResortMs) {
            this.lastResortMs = lastResortMs;
            this.ask = ask;
            this.session = session;
            this.slot = slot;
        }

        public ClientMessage.RequestQuery ask() {
            return ask;
        }

        /** Numbers the sends of an op as the module does. */
        public int nextSend() {
            return sends++;
        }
    }

    /** A command's place in the order of answers. */
    private static final class PendingResponse {
        private RequestId request;
        private Buffer answer;
        private boolean ends;
    }

    private final Vertx vertx;
    private final Log log;
    private final RouterEventLoop loop;
    private final GatewaySettings settings;
    private final ConnectionLimits<Session> limits;
    private final ServerClock time;
    private final long unreadMs;
    private final Traffic traffic = new Traffic(TRAFFIC_FADES_MS);
    private final Map<RequestId, AcceptedRequest> taken = new HashMap<>();
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final List<Session> early = new ArrayList<>(); // asked before the module was told what it needs
    private final Map<Integer, Session> byProcess = new HashMap<>(); // by the number that a cancel message names
    // Numbers that others cannot know by counting; connections have no password, so this needs no stronger source.
    private final SplittableRandom secrets = new SplittableRandom();
    private int processes;
    private long load; // bytes of ops in hand, of messages not yet whole and of answers not yet read
    private LongConsumer asked = x -> {};
    private RequestHistoryLookup past; // null where gateways keep nothing together
    private boolean ready;
    private boolean ending;
    private boolean stopped; // reads nothing more
    private int unsent;
    private final Set<NetSocket> parting = new LinkedHashSet<>(); // ended here and not yet by their clients
    private long answersBy = Long.MAX_VALUE;

    public ClientConnections(
            Vertx vertx,
            Log log,
            RouterEventLoop loop,
            GatewaySettings settings,
            ConnectionLimits<Session> limits,
            ServerClock time) {
        this.time = time;
        this.vertx = vertx;
        this.log = log;
        this.loop = loop;
        this.settings = settings;
        this.limits = limits;
        unreadMs = Math.max(
                UNREAD_LEAST_MS,
                settings.started().requestClasses().stream()
                                .mapToLong(RequestClass::timeout)
                                .max()
                                .orElse(0)
                        / 10);
        vertx.setPeriodic(LOOK_MS, x -> look());
    }

    private long nowMs() {
        return time.clock().monotonicMs();
    }

    /** Ends what the limits say is to end by now. */
    private void look() {
        if (loop.behind() == 0) {
            answerOverdue();
        }
        for (ConnectionLimits.Eviction<Session> l = limits.overdue(nowMs()); l != null; l = limits.overdue(nowMs())) {
            end(l);
        }
        for (ConnectionLimits.Eviction<Session> l = ending ? limits.silentFor(SILENT_MS, nowMs()) : null;
                l != null;
                l = limits.silentFor(SILENT_MS, nowMs())) {
            end(l);
        }
    }

    /** Answers what the router has left unanswered beyond its time, whatever the cause: each request gets its final answer. */
    private void answerOverdue() {
        long now = nowMs();
        List<AcceptedRequest> overdue =
                taken.values().stream().filter(t -> now > t.lastResortMs).toList();
        for (AcceptedRequest t : overdue) {
            RequestId request = new RequestId(t.ask.id());
            log.often("request without an answer", "failed " + LAST_RESORT_MS + " ms after its time");
            loop.tell(new Event.ClientDisconnected(request)); // it is answered here
            errored(request);
        }
    }

    /**
     * Ends a connection that is to make way: one that began something is told so, an idle one is closed. One whose client has
     * asked by now stays: what the system holds for it is read first, since after a pause of this process a timer fires before
     * the requests that came during the pause have been read.
     */
    public void end(ConnectionLimits.Eviction<Session> l) {
        OptionalLong since = limits.heldSince(l);
        NioSockets.readNow(l.who().socket);
        if (since.isEmpty() || !since.equals(limits.heldSince(l))) {
            return;
        }
        if (l.why() == ConnectionLimits.Why.IDLE) {
            if (l.who().closeIfIdle()) {
                log.often(
                        "idle client connection",
                        "ended after " + l.sinceMs() + " ms, " + limits.clients() + " of clients");
            } else {
                limits.asks(l.who()); // it is not named again before it has been answered
            }
            return;
        }
        String what = l.why() == ConnectionLimits.Why.NO_GREETING
                ? "client without a greeting"
                : "client with an unfinished message";
        log.often(what, "closed after " + l.sinceMs() + " ms, " + limits.clients() + " of clients");
        // What ends for this gateway's sake is refused, since its client may have written a request meanwhile.
        l.who().giveUp(ending ? "57P03" : l.forRoom() ? BUSY : "08P01", what);
    }

    /** Takes in a connection, in place of one that does nothing where there are many, or turns it away. */
    public void accept(NetSocket socket) {
        if (stopped) {
            NioSockets.stopReading(socket); // the process exits in a moment
            return;
        }
        ConnectionLimits.Eviction<Session> way = limits.clientFits() ? null : limits.wayForClient(nowMs());
        while (way != null) {
            end(way);
            way = limits.clientFits() ? null : limits.wayForClient(nowMs());
        }
        if (!limits.clientFits()) {
            log.often("no room for a connection", "of a client, " + limits.clients() + " of clients");
            limits.turnedAway();
            socket.exceptionHandler(e -> {});
            long waitMs = limits.over() > 0 ? 0 : GREETING_WAIT_MS;
            RefusedConnection refused = new RefusedConnection(socket, this::cancel, () -> part(socket));
            socket.closeHandler(x -> {
                refused.closed();
                ended(socket);
            });
            refused.refuseWithin(waitMs, vertx);
            return;
        }
        sessions.add(new Session(socket));
    }

    /** From now on queries are taken; those that came before are taken first. */
    public void ready() {
        ready = true;
        early.forEach(Session::takeEarly);
        early.clear();
    }

    public int sessions() {
        return sessions.size();
    }

    /** Connections ended here whose last answers this process still has. */
    public int unsent() {
        return unsent;
    }

    /**
     * Ends a connection in order. Guards against a close over bytes that are still to be read, which would reset it and take
     * answers back that are on their way: what is written goes out, the end behind it; what comes is read and dropped. Where
     * descriptors are short, those that have had longest are closed.
     */
    private void part(NetSocket socket) {
        unsent++;
        socket.write(Buffer.buffer()).onComplete(r -> {
            unsent--;
            if (r.succeeded()
                    && ((NetSocketInternal) socket).channelHandlerContext().channel() instanceof DuplexChannel c) {
                c.shutdownOutput();
            }
        });
        dropInput(socket);
    }

    /** Reads and drops what still comes on a connection whose output has ended, and closes it after a while. */
    private void dropInput(NetSocket socket) {
        parting.add(socket);
        // Guards against floods that cost a busy gateway the time to read what nobody wants: they are left where they
        // are.
        int[] dropped = {0};
        socket.handler(more -> {
            dropped[0] += more.length();
            log.often(
                    "client bytes after its end",
                    more.length() + " bytes, not read" + (ending ? ", in a planned restart" : ""));
            if (dropped[0] > DROPPED_MOST) {
                socket.pause();
            }
        });
        vertx.setTimer(PARTING_MS, x -> closeUnlessFlooded(socket, dropped[0]));
        makeWay(limits.over());
    }

    /** Closes a connection that has been ended here, with nothing left to be read where that can be had: see {@link #part}. */
    private static void closeUnlessFlooded(NetSocket socket, int dropped) {
        if (dropped <= DROPPED_MOST) {
            NioSockets.readNow(socket);
        }
        socket.close();
    }

    /** Closes so many of the connections that have been ended here and not yet by their clients, longest first. */
    public void makeWay(int many) {
        for (NetSocket longest : parting.stream().limit(Math.max(0, many)).toList()) {
            parting.remove(longest);
            NioSockets.readNow(longest);
            longest.close();
        }
    }

    private void ended(NetSocket socket) {
        parting.remove(socket);
        vertx.setTimer(1, x -> limits.closed()); // the system has its descriptor back a moment later
    }

    /** Connections that have greeted. */
    public int greeted() {
        return sessions.size() - limits.strangers();
    }

    /** Ops a second, lately. */
    public double requestsPerSecond() {
        return traffic.perSecond(nowMs());
    }

    /** Tells of each op from now on. */
    public void whenAsked(LongConsumer hears) {
        asked = hears;
    }

    /** Ops go by this from now on. */
    public void past(RequestHistoryLookup past) {
        this.past = past;
    }

    public int requestsInFlight() {
        return taken.size();
    }

    /**
     * Whether the client of an op still waits for it; asked right before an attempt is written. Where its connection was not
     * read a moment ago, as for a retry, a request that was held, or behind a pause of this process, it is read now.
     */
    public boolean waits(AcceptedRequest t) {
        RequestId request = new RequestId(t.ask.id());
        return taken.get(request) == t && !t.session.leftUnseen() && taken.get(request) == t;
    }

    /** The op if it is still in hand. */
    public AcceptedRequest taken(RequestId request) {
        return taken.get(request);
    }

    /** Connections on which something has been read whole and not been answered. */
    public int unanswered() {
        return (int) sessions.stream().filter(Session::owesAnswer).count();
    }

    /**
     * Reads nothing more, on connections that come later neither: what is read right before the process exits could not be
     * answered, while clients send again what they find unread. What has been read is answered as before.
     */
    public void stopReading() {
        stopped = true;
        sessions.forEach(s -> NioSockets.stopReading(s.socket));
        for (Session s : List.copyOf(sessions)) {
            if (s.hasPartOfGreeting()) {
                s.giveUp("57P03", ENDS_SOON);
            }
        }
        refuseUnfinished();
    }

    /** Whatever is taken from now on must be answered by this time. */
    public void answerAllBy(long time) {
        answersBy = time;
    }

    /** From now on idle connections are ended, and others after their answers. */
    public void endIdle() {
        if (!ending) {
            log.line("planned restart: idle connections end, " + sessions.size() + " connections");
        }
        ending = true;
        List<Session> idle = new ArrayList<>();
        limits.allIdle().forEach(idle::add);
        idle.forEach(Session::closeIfIdle);
    }

    /**
     * The gateway ends in a moment. Guards against messages in pieces whose last comes too late to be answered: they are
     * refused now, and nothing more is taken on those connections.
     */
    public void refuseUnfinished() {
        for (Session s = limits.longestUnfinished(); s != null; s = limits.longestUnfinished()) {
            s.giveUp("57P03", ENDS_SOON);
        }
    }

    public void acked(RequestId request, ResultRow row) {
        answer(request, MessageWriter.resultRow(row));
    }

    /** The write ran before, under the same id; this is what its client was answered then. */
    public void ranBefore(RequestId request, byte[] answer) {
        answer(request, Buffer.buffer(answer));
    }

    /** Tells the client that trying again does no harm; after how long, in tenths of a millisecond, or 0. */
    public void busyReplied(RequestId request, long retryAfter) {
        String detail = retryAfter > 0 ? Long.toString((retryAfter + 9) / 10) : null;
        answer(request, MessageWriter.errorResponse("53300", "busy, trying again does no harm", detail, false, true));
    }

    public void errored(RequestId request) {
        answer(
                request,
                MessageWriter.errorResponse("58000", "the op failed; whether it ran is not known", null, false, true));
    }

    /**
     * Bounds what clients make a gateway hold: over the bound, those whose message has been unfinished longest lose their
     * connections, after the answers to what came before it, and new requests are refused. All go on being read: a client that
     * was not read would get its answer too late because of what others hold here.
     */
    private void makeLighter() {
        while (load >= LOAD_MOST && limits.longestUnfinished() != null) {
            Session s = limits.longestUnfinished();
            log.often("too much unfinished", "given up with " + s.partial + " bytes, " + load + " held in all");
            s.giveUp(BUSY, "too much is unfinished here, trying again does no harm");
        }
    }

    private void lighter(long by) {
        load -= by;
    }

    private void answer(RequestId request, Buffer answer) {
        AcceptedRequest t = taken.remove(request);
        if (t != null) {
            lighter(t.ask.text().length);
            t.slot.answer = answer;
            t.session.flush();
        }
    }

    private static int cost(ClientMessage m) {
        return QUEUED_COST + (m instanceof ClientMessage.RequestQuery ask ? ask.text().length : 0);
    }

    /** Cancels the requests of the connection that the message names, if it is one of these. */
    private void cancel(ClientMessage.CancelRequest c) {
        Session s = byProcess.get(c.process());
        if (s != null && s.secret == c.secret()) {
            s.cancelRequests();
        }
    }

    /** One client's connection. */
    public final class Session {
        private final NetSocket socket;
        private final ClientMessageReader stream = new ClientMessageReader();
        private final Deque<PendingResponse> slots = new ArrayDeque<>();
        private final Deque<ClientMessage> waiting = new ArrayDeque<>(); // cut, behind as many as may be in hand
        private final int process = ++processes; // with the secret, what a cancel message names
        private final int secret = secrets.nextInt();
        private int waitingBytes;
        private boolean closed;
        private boolean reading; // bytes that came are being taken in
        private boolean deaf; // a message that ends the connection has come; nothing behind it is run
        private boolean framingLost; // no message can be found any more in what comes
        private int behind; // requests that came behind the message that ends the connection
        private boolean paused;
        private boolean readsOn;
        private boolean unread;
        private boolean skipping;
        private ClientMessage first;
        private long firstAt;
        private int partial;
        private long unreadBytes;
        private long readAt = nowMs();
        private long bytesRead;

        private Session(NetSocket socket) {
            this.socket = socket;
            socket.handler(this::bytes);
            socket.closeHandler(x -> gone());
            socket.exceptionHandler(e -> log.often("client connection", String.valueOf(e.getMessage())));
            limits.came(this, nowMs());
            byProcess.put(process, this);
        }

        private void bytes(Buffer more) {
            readAt = nowMs();
            bytesRead += more.length();
            if (closed || framingLost) {
                log.often(
                        "client bytes after its end",
                        more.length() + " bytes, not read" + (ending ? ", in a planned restart" : ""));
                return;
            }
            reading = true;
            try {
                stream.feed(more);
                read();
            } catch (RuntimeException e) { // ends here: this connection, nothing else
                log.fault("client connection fault", e);
                close();
            } finally {
                reading = false;
            }
            if (ending) {
                closeIfIdle();
            }
        }

        private void read() {
            if (closed) {
                return;
            }
            take();
            boolean cut = cut();
            if (!closed) {
                load += stream.held() - partial;
                partial = stream.held();
                boolean begun = partial > 0 && stream.greeted() && !deaf && waitingBytes < QUEUED_MOST;
                if (!begun || cut) {
                    limits.whole(this);
                }
                if (begun) {
                    limits.begun(this, nowMs());
                }
                makeLighter();
                flow();
            }
        }

        /** Cuts what has come into messages; true if there were any. A client that terminates has gone, whatever waits here. */
        private boolean cut() {
            boolean cut = false;
            while (!closed && !deaf && waitingBytes < QUEUED_MOST) {
                ClientMessage m = stream.next();
                if (m == null) {
                    return cut;
                }
                cut = true;
                if (m instanceof ClientMessage.Terminate) {
                    close();
                } else {
                    enqueue(m);
                    take();
                }
            }
            if (deaf && !closed) {
                countBehind();
            }
            return cut;
        }

        private void enqueue(ClientMessage m) {
            boolean tooMuch = waitingBytes >= READ_AHEAD_MOST || load >= LOAD_MOST;
            queue(tooMuch && m instanceof ClientMessage.RequestQuery ? TOO_MUCH : m);
            if (m.endsConnection()) {
                endInput();
            }
        }

        private void queue(ClientMessage m) {
            waiting.add(m);
            waitingBytes += cost(m);
            load += cost(m);
        }

        /** Takes as many of the messages that wait as may be in hand; none is forwarded while its client's end cannot be seen. */
        private void take() {
            while (!closed && slots.size() < AHEAD_MOST && !unread && first == null && !waiting.isEmpty()) {
                ClientMessage m = waiting.poll();
                waitingBytes -= cost(m);
                lighter(cost(m));
                message(paused && m instanceof ClientMessage.RequestQuery ? TOO_MUCH : m);
            }
        }

        /** From now on what comes is not run: the message at the head of the stream ends the connection. */
        private void endInput() {
            deaf = true;
            framingLost = !stream.skipMessage();
        }

        /** Counts the requests behind the message that ends the connection: each is refused before the connection ends. */
        private void countBehind() {
            while (!framingLost) {
                ClientMessage m = stream.next();
                if (m == null) {
                    return;
                }
                if (m.endsConnection()) {
                    framingLost = !stream.skipMessage();
                } else if (m.expectsQueryResponse()) {
                    behind = Math.min(BEHIND_MOST, behind + 1);
                }
            }
            stream.clear();
        }

        /** Whether the client has closed its connection, which may not have been read for a while. */
        private boolean leftUnseen() {
            if (closed || nowMs() - readAt < READ_LATELY_MS) {
                return closed;
            }
            readToTheEnd();
            readAt = nowMs();
            if (!closed && !NioSockets.isOpen(socket)) {
                over();
            }
            return closed;
        }

        /** Reads until nothing more is there; the end of a connection comes behind its bytes. */
        private void readToTheEnd() {
            long before = -1;
            for (int i = 0; i < READS_MOST && bytesRead != before && !closed; i++) {
                before = bytesRead;
                NioSockets.readNow(socket);
            }
        }

        /** Ends every request that has come and has no answer yet: none of them is attempted from now on. */
        private void cancelRequests() {
            for (PendingResponse s : slots) {
                if (s.request != null && s.answer == null) {
                    lighter(taken.remove(s.request).ask.text().length);
                    loop.tell(new Event.ClientDisconnected(s.request));
                    s.answer = MessageWriter.errorResponse(CANCELED.code(), CANCELED.text(), null, false, true);
                }
            }
            first = first instanceof ClientMessage.RequestQuery ? CANCELED : first;
            List<ClientMessage> queued = List.copyOf(waiting);
            waiting.clear();
            lighter(waitingBytes);
            waitingBytes = 0;
            queued.forEach(m -> queue(m instanceof ClientMessage.RequestQuery ? CANCELED : m));
            flush();
        }

        private void takeEarly() {
            ClientMessage m = first;
            first = null;
            if (m instanceof ClientMessage.RequestQuery ask) {
                request(ask, firstAt);
            } else {
                message(m);
            }
            read();
        }

        private void message(ClientMessage m) {
            if (!ready && (m instanceof ClientMessage.RequestQuery || m instanceof ClientMessage.EmptyQuery)) {
                first = m;
                firstAt = cameAt();
                early.add(this);
                limits.asks(this); // it waits for an answer, and so makes way for nobody
            } else if (m instanceof ClientMessage.RequestQuery ask && !skipping) {
                request(ask, cameAt());
            } else if (m instanceof ClientMessage.Startup) {
                limits.greeted(this);
                put(MessageWriter.startupResponse(process, secret));
            } else if (m instanceof ClientMessage.EncryptionRequest) {
                put(Buffer.buffer("N"));
            } else if (m instanceof ClientMessage.EmptyQuery && !skipping) {
                put(MessageWriter.emptyQueryResponse());
            } else if (m instanceof ClientMessage.CancelRequest c) {
                cancel(c);
                close();
            } else if (m instanceof ClientMessage.Sync) {
                skipping = false;
                put(MessageWriter.readyForQuery());
            } else if (m instanceof ClientMessage.UnsupportedMessage n && !skipping) {
                skipping = n.untilSync();
                put(MessageWriter.errorResponse(
                        "0A000", "only simple queries are spoken here", null, false, !n.untilSync()));
            } else if ((m == TOO_MUCH || m == CANCELED) && !skipping) {
                ClientMessage.InvalidQuery not = (ClientMessage.InvalidQuery) m;
                log.often("client's request not run", not.text());
                refuse(not.code(), not.text(), false);
            } else if (m instanceof ClientMessage.InvalidQuery bad && (!skipping || bad.endsConnection())) {
                bad(bad.code(), bad.text(), bad.endsConnection());
            }
        }

        /** The earliest time at which what is read now may have come; its client counts from there. */
        private long cameAt() {
            return time.now() - loop.behind();
        }

        /** Ends with what it began; ops taken before that are answered first. */
        private void giveUp(String code, String why) {
            limits.greeted(this); // no stranger any more, since it is being answered
            limits.whole(this);
            endInput();
            lighter(partial);
            partial = 0;
            if (framingLost) {
                stream.clear();
            }
            queue(new ClientMessage.InvalidQuery(code, why, true));
            take();
        }

        private void bad(String code, String text, boolean ends) {
            if (ready) {
                log.often("bad input from a client", code + " " + text);
            }
            refuse(code, text, ends);
        }

        private void refuse(String code, String text, boolean ends) {
            deaf |= ends;
            PendingResponse slot = new PendingResponse();
            slot.answer = MessageWriter.errorResponse(code, text, null, ends, !ends);
            slot.ends = ends;
            slots.add(slot);
            flush();
        }

        private void put(Buffer answer) {
            PendingResponse slot = new PendingResponse();
            slot.answer = answer;
            slots.add(slot);
            flush();
        }

        private void request(ClientMessage.RequestQuery ask, long now) {
            int type = settings.requestClasses().indexOf(ask.requestClass());
            int tenant = settings.tenants().isEmpty() ? 0 : settings.tenants().indexOf(ask.tenant());
            RequestId request = new RequestId(ask.id());
            if (type < 0 || tenant < 0) {
                bad("22023", type < 0 ? "an unknown op type" : "an unknown tenant", false);
                return;
            }
            if (taken.containsKey(request)) {
                bad("42710", "the id of an op still in hand", false);
                return;
            }
            limits.asks(this);
            traffic.request(nowMs());
            asked.accept(nowMs());
            PendingResponse slot = new PendingResponse();
            slot.request = request;
            slots.add(slot);
            long timeoutAt = Math.min(answersBy, now + (long) Math.floor(ask.timeoutMs() * 10));
            long lastResortMs = nowMs() + Math.max(0, timeoutAt - now) / 10 + LAST_RESORT_MS;
            taken.put(request, new AcceptedRequest(ask, this, slot, lastResortMs));
            load += ask.text().length;
            Consistency needs = settings.started().requestClasses().get(type).needs();
            boolean inSession = ask.key() != null && (needs == Consistency.WRITE || needs == Consistency.SESSION);
            long tokenAge = ask.afterMs() <= 0 ? 0 : time.tokenAge(now, ask.afterMs() * 10); // 0 is the word for none
            Event.RequestArrived arrived = new Event.RequestArrived(
                    request,
                    new RequestClassId(type),
                    new TenantId(tenant),
                    new GroupId(ask.group()),
                    inSession ? new SessionId(ask.key()) : null,
                    timeoutAt,
                    ask.again(),
                    0,
                    tokenAge);
            if (past == null) {
                loop.tell(arrived);
            } else {
                past.arrives(arrived, ask.key());
            }
        }

        /** Writes the answers that are due, in order. */
        private void flush() {
            while (!closed && !slots.isEmpty() && slots.peek().answer != null) {
                PendingResponse s = slots.poll();
                socket.write(s.answer);
                if (unread || socket.writeQueueFull()) {
                    unreadBytes += s.answer.length();
                    load += s.answer.length();
                }
                if (s.ends) {
                    for (int i = 0; i < behind && !closed; i++) {
                        socket.write(
                                MessageWriter.errorResponse(BUSY, "not run, this connection ends", null, false, true));
                    }
                    close();
                }
            }
            if (!closed && slots.isEmpty()) {
                if (stream.held() == 0 && waiting.isEmpty() && !limits.isUnfinished(this)) {
                    limits.idle(this, nowMs());
                }
                if (ending) {
                    closeIfIdle();
                }
            }
            if (!closed && !unread && socket.writeQueueFull()) {
                unread = true;
                long timer = vertx.setTimer(unreadMs, x -> {
                    log.often("client that does not read", "closed after " + unreadMs + " ms");
                    close();
                });
                socket.drainHandler(x -> {
                    vertx.cancelTimer(timer);
                    unread = false;
                    lighter(unreadBytes);
                    unreadBytes = 0;
                    read();
                });
            }
            if (!readsOn && (stream.held() > 0 || !waiting.isEmpty())) {
                readsOn = true;
                vertx.runOnContext(x -> {
                    readsOn = false;
                    read();
                });
            }
        }

        /**
         * Ends a connection whose client waits for nothing; false where it stays, as with a request on it that had not been
         * read yet. Nothing stands between that last look and the end of output: what comes during a pause there is lost.
         */
        private boolean closeIfIdle() {
            if (stopped || reading || !waitsForNothing()) {
                return false; // once what came has been taken in this is asked again
            }
            NioSockets.readNow(socket);
            if (!waitsForNothing()) {
                return false;
            }
            boolean outputEnded = NioSockets.shutdownOutputNow(socket);
            over();
            if (outputEnded) {
                dropInput(socket);
            } else {
                part(socket);
            }
            return true;
        }

        private boolean waitsForNothing() {
            return !closed
                    && slots.isEmpty()
                    && waiting.isEmpty()
                    && stream.greeted()
                    && stream.held() == 0
                    && first == null;
        }

        private boolean owesAnswer() {
            return !slots.isEmpty() || stream.greeted() && stream.held() > 0 && !limits.isUnfinished(this);
        }

        private boolean hasPartOfGreeting() {
            return !stream.greeted() && stream.held() > 0;
        }

        /** Holds back a client that writes far more than it reads. */
        private void flow() {
            if (closed || stopped) {
                return;
            }
            boolean hold = waitingBytes >= QUEUED_MOST;
            if (hold != paused) {
                paused = hold;
                if (hold) {
                    socket.pause();
                } else {
                    socket.resume();
                }
            }
        }

        private void close() {
            if (closed) {
                return;
            }
            over();
            if (paused) {
                socket.resume();
            }
            part(socket);
        }

        /** The connection is no more. */
        private void gone() {
            if (!closed) {
                over();
            }
            ended(socket);
        }

        private void over() {
            closed = true;
            limits.left(this);
            stream.clear(); // what refers to an ended session must not keep its bytes
            lighter(partial + unreadBytes + waitingBytes);
            partial = 0;
            unreadBytes = 0;
            waiting.clear();
            waitingBytes = 0;
            byProcess.remove(process);
            early.remove(this);
            sessions.remove(this);
            for (PendingResponse s : slots) {
                if (s.request != null && s.answer == null) {
                    lighter(taken.remove(s.request).ask.text().length);
                    loop.tell(new Event.ClientDisconnected(s.request));
                }
            }
            slots.clear();
        }
    }
}
