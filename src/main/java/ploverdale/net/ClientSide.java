package ploverdale.net;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import ploverdale.log.Log;
import ploverdale.model.GroupId;
import ploverdale.model.Happening;
import ploverdale.model.OpId;
import ploverdale.model.OpType.Needs;
import ploverdale.model.OpTypeId;
import ploverdale.model.SessionId;
import ploverdale.model.TenantId;
import ploverdale.net.LogicLoop.Clock;
import ploverdale.terms.Terms;

/**
 * Owns the clients' connections and the ops taken from them: reads queries, tells the module of each op, and
 * writes one answer for each command in the order of the commands. Must never decide an op's fate, answer an op
 * twice, or keep more of a client that does not read than its bounds allow.
 */
public final class ClientSide {
    private static final int AHEAD_MOST = 8; // commands of one client taken before their answers are out
    private static final long UNFINISHED_MS = 2200; // for a greeting or a message to be whole; the platform waits 3 s
    private static final long IDLE_MS = 2100; // after which a connection may be ended; the platform grants 2 s
    private static final long MOMENT_MS = 100; // so that a client that has just been let in may ask
    private static final int CROWDED_PART = 5; // of the descriptors; clients may hold a third
    private static final long LOOK_MS = 100;
    private static final long LOAD_MOST = 16 * 1024 * 1024; // see makeLighter
    private static final long UNREAD_MS = 5000; // for a client to read on, before it is closed

    /** An op in hand. */
    public static final class Taken {
        private final PgCodec.OpAsk ask;
        private final Session session;
        private final Slot slot;
        private int sends;

        private Taken(PgCodec.OpAsk ask, Session session, Slot slot) {
            this.ask = ask;
            this.session = session;
            this.slot = slot;
        }

        public PgCodec.OpAsk ask() {
            return ask;
        }

        /** Numbers the sends of an op as the module does. */
        public int nextSend() {
            return sends++;
        }
    }

    /** A command's place in the order of answers. */
    private static final class Slot {
        private OpId op;
        private Buffer answer;
        private boolean ends;
    }

    private final Vertx vertx;
    private final Log log;
    private final LogicLoop loop;
    private final Terms terms;
    private final BooleanSupplier room;
    private final int crowded;
    private final Map<OpId, Taken> taken = new HashMap<>();
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final Set<Session> idle = new LinkedHashSet<>(); // longest first
    private final List<Session> early = new ArrayList<>(); // asked before the module was told what it needs
    private final Set<Session> ungreeted = new LinkedHashSet<>(); // longest first
    private final Set<Session> unfinished = new LinkedHashSet<>(); // with part of a message, longest first
    private final Set<Session> heldBack = new LinkedHashSet<>(); // until the load is less
    private long load; // bytes of ops in hand, of messages not yet whole and of answers not yet read
    private int closing;
    private boolean ready;
    private boolean ending;
    private long answersBy = Long.MAX_VALUE;

    public ClientSide(Vertx vertx, Log log, LogicLoop loop, Terms terms, int sockets, BooleanSupplier room) {
        this.vertx = vertx;
        this.log = log;
        this.loop = loop;
        this.terms = terms;
        this.room = room;
        crowded = sockets / CROWDED_PART;
        vertx.setPeriodic(LOOK_MS, x -> look());
    }

    /**
     * Guards against clients that hold connections and do nothing with them: what they began ends in time, and where
     * connections are many, those that have been idle longest make room for clients that find none.
     */
    private void look() {
        long now = System.nanoTime() / 1_000_000;
        endOld(ungreeted, now - UNFINISHED_MS, "client without a greeting");
        endOld(unfinished, now - UNFINISHED_MS, "client with an unfinished message");
        while (sessions.size() > crowded && closeLongestIdle(true)) {
            continue;
        }
    }

    private void endOld(Set<Session> all, long before, String what) {
        while (!all.isEmpty() && all.iterator().next().since < before) {
            log.often(what, "closed after " + UNFINISHED_MS + " ms");
            all.iterator().next().giveUp(what);
        }
    }

    /** Takes in a connection, or turns it away where there is no room for one. */
    public void accept(NetSocket socket) {
        if (!room.getAsBoolean()) {
            log.often("no room for a connection", "of a client, " + sessions.size() + " of clients");
            socket.exceptionHandler(e -> { });
            socket.write(PgCodec.problem("53300", "too many connections", null, true, false));
            socket.close();
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

    /** Connections closed in this turn of the loop. */
    public int closing() {
        return closing;
    }

    /** Closes the connection that has been idle longest if that is long, or at least a moment; false where none is. */
    public boolean closeLongestIdle(boolean ifLong) {
        Session s = idle.isEmpty() ? null : idle.iterator().next();
        if (s == null || s.since > System.nanoTime() / 1_000_000 - (ifLong ? IDLE_MS : MOMENT_MS)) {
            return false;
        }
        s.close();
        return true;
    }

    public int opsInHand() {
        return taken.size();
    }

    /** The op if it is still in hand. */
    public Taken taken(OpId op) {
        return taken.get(op);
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
        List.copyOf(idle).forEach(Session::endIfDone);
    }

    public void acked(OpId op, PgCodec.Row row) {
        answer(op, PgCodec.acked(row));
    }

    /** Tells the client that trying again does no harm; after how long, in tenths of a millisecond, or 0. */
    public void busyReplied(OpId op, long comeBackIn) {
        String detail = comeBackIn > 0 ? Long.toString((comeBackIn + 9) / 10) : null;
        answer(op, PgCodec.problem("53300", "busy, trying again does no harm", detail, false, true));
    }

    public void errored(OpId op) {
        answer(op, PgCodec.problem("58000", "the op failed; whether it ran is not known", null, false, true));
    }

    /**
     * Guards against what clients make a gateway hold: over the bound, those whose message has been unfinished longest
     * lose their connections, after the answers to what came before it; if that is not enough, no more is read for now.
     */
    private void makeLighter() {
        while (load >= LOAD_MOST && !unfinished.isEmpty()) {
            Session s = unfinished.iterator().next();
            log.often("too much unfinished", "given up with " + s.partial + " bytes, " + load + " held in all");
            s.giveUp("too much unfinished");
        }
    }

    private void lighter(long by) {
        load -= by;
        if (load < LOAD_MOST && !heldBack.isEmpty()) {
            List<Session> all = List.copyOf(heldBack);
            heldBack.clear();
            vertx.runOnContext(x -> all.forEach(Session::read));
        }
    }

    private void answer(OpId op, Buffer answer) {
        Taken t = taken.remove(op);
        if (t != null) {
            lighter(t.ask.text().length);
            t.slot.answer = answer;
            t.session.flush();
        }
    }

    /** One client's connection. */
    private final class Session {
        private final NetSocket socket;
        private final PgCodec.ClientStream stream = new PgCodec.ClientStream();
        private final Deque<Slot> slots = new ArrayDeque<>();
        private long since = System.nanoTime() / 1_000_000; // it connected, or its message began, or it has been idle
        private boolean closed;
        private boolean deaf;
        private boolean paused;
        private boolean unread;
        private boolean skipping;
        private PgCodec.FromClient first;
        private int partial;
        private long unreadBytes;

        Session(NetSocket socket) {
            this.socket = socket;
            socket.handler(this::bytes);
            socket.closeHandler(x -> gone());
            socket.exceptionHandler(e -> log.often("client connection", String.valueOf(e.getMessage())));
            ungreeted.add(this);
        }

        private void bytes(Buffer more) {
            if (closed || deaf) {
                return;
            }
            try {
                stream.feed(more);
                read();
            } catch (RuntimeException e) { // ends here: this connection, nothing else
                log.fault("client connection fault", e);
                close();
            }
        }

        private void read() {
            boolean cut = false;
            boolean part = false;
            while (!closed && !deaf && load < LOAD_MOST && slots.size() < AHEAD_MOST && !unread && first == null) {
                PgCodec.FromClient m = stream.next();
                part = m == null;
                if (part) {
                    break;
                }
                cut = true;
                message(m);
            }
            if (!closed) {
                load += stream.held() - partial;
                partial = stream.held();
                boolean begun = part && partial > 0 && stream.greeted(); // not what waits here for answers before it
                if (!begun || cut) {
                    unfinished.remove(this);
                }
                if (begun && unfinished.add(this)) {
                    since = System.nanoTime() / 1_000_000;
                    idle.remove(this);
                }
                makeLighter();
                flow();
            }
        }

        private void takeEarly() {
            PgCodec.FromClient m = first;
            first = null;
            message(m);
            read();
        }

        private void message(PgCodec.FromClient m) {
            if (!ready && (m instanceof PgCodec.OpAsk || m instanceof PgCodec.EmptyAsk)) {
                first = m;
                early.add(this);
            } else if (m instanceof PgCodec.OpAsk ask && !skipping) {
                op(ask);
            } else if (m instanceof PgCodec.Hello) {
                ungreeted.remove(this);
                put(PgCodec.welcome());
            } else if (m instanceof PgCodec.WantsCover) {
                put(Buffer.buffer("N"));
            } else if (m instanceof PgCodec.EmptyAsk && !skipping) {
                put(PgCodec.emptyDone());
            } else if (m instanceof PgCodec.Bye) {
                close();
            } else if (m instanceof PgCodec.Sync) {
                skipping = false;
                put(PgCodec.synced());
            } else if (m instanceof PgCodec.NotSpoken n && !skipping) {
                skipping = n.untilSync();
                put(PgCodec.problem("0A000", "only simple queries are spoken here", null, false, !n.untilSync()));
            } else if (m instanceof PgCodec.BadAsk bad && (!skipping || bad.ends())) {
                bad(bad.code(), bad.text(), bad.ends());
            }
        }

        /** Ends with what it began; ops taken before that are answered first. */
        private void giveUp(String why) {
            ungreeted.remove(this);
            unfinished.remove(this);
            stream.clear();
            lighter(partial);
            partial = 0;
            bad("08P01", why, true);
        }

        private void bad(String code, String text, boolean ends) {
            if (ready) {
                log.often("bad input from a client", code + " " + text);
            }
            deaf |= ends;
            Slot slot = new Slot();
            slot.answer = PgCodec.problem(code, text, null, ends, !ends);
            slot.ends = ends;
            slots.add(slot);
            flush();
        }

        private void put(Buffer answer) {
            Slot slot = new Slot();
            slot.answer = answer;
            slots.add(slot);
            flush();
        }

        private void op(PgCodec.OpAsk ask) {
            int type = terms.opTypes().indexOf(ask.type());
            int tenant = terms.tenants().isEmpty() ? 0 : terms.tenants().indexOf(ask.tenant());
            OpId op = new OpId(ask.id());
            if (type < 0 || tenant < 0) {
                bad("22023", type < 0 ? "an unknown op type" : "an unknown tenant", false);
                return;
            }
            if (taken.containsKey(op)) {
                bad("42710", "the id of an op still in hand", false);
                return;
            }
            idle.remove(this);
            Slot slot = new Slot();
            slot.op = op;
            slots.add(slot);
            taken.put(op, new Taken(ask, this, slot));
            load += ask.text().length;
            Needs needs = terms.started().opTypes().get(type).needs();
            boolean inSession = ask.key() != null && (needs == Needs.WRITE || needs == Needs.SESSION);
            long now = Clock.now() - loop.behind();
            long tokenAge = ask.afterMs() <= 0 ? 0 : Math.max(1, now - ask.afterMs() * 10); // 0 is the word for none
            long timeoutAt = Math.min(answersBy, now + (long) Math.floor(ask.waitMs() * 10));
            loop.tell(new Happening.OpArrived(op, new OpTypeId(type), new TenantId(tenant), new GroupId(ask.group()),
                    inSession ? new SessionId(ask.key()) : null, timeoutAt, ask.again(), 0, tokenAge));
        }

        /** Writes the answers that are due, in order. */
        private void flush() {
            while (!closed && !slots.isEmpty() && slots.peek().answer != null) {
                Slot s = slots.poll();
                socket.write(s.answer);
                if (unread || socket.writeQueueFull()) {
                    unreadBytes += s.answer.length();
                    load += s.answer.length();
                }
                if (s.ends) {
                    close();
                }
            }
            if (!closed && slots.isEmpty()) {
                if (!unfinished.contains(this)) {
                    since = System.nanoTime() / 1_000_000;
                    idle.remove(this);
                    idle.add(this); // as the one that has been idle shortest
                }
                if (ending) {
                    endIfDone();
                }
            }
            if (!closed && !unread && socket.writeQueueFull()) {
                unread = true;
                long timer = vertx.setTimer(UNREAD_MS, x -> {
                    log.often("client that does not read", "closed after " + UNREAD_MS + " ms");
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
            if (paused) {
                vertx.runOnContext(x -> read());
            }
        }

        /** Guards against ending a connection with a query already here, as one right behind its greeting. */
        private void endIfDone() {
            if (stream.greeted() && stream.held() == 0 && first == null) {
                close();
            }
        }

        /** Guards against clients that write more than they read: they are held back. */
        private void flow() {
            if (closed) {
                return;
            }
            boolean hold = slots.size() >= AHEAD_MOST || unread || first != null || load >= LOAD_MOST;
            if (load >= LOAD_MOST) {
                heldBack.add(this);
            }
            if (hold != paused) {
                paused = hold;
                if (hold) {
                    socket.pause();
                } else {
                    socket.resume();
                }
            }
        }

        /** Guards against many messages that are begun and never end: over the bound they end with their connection. */
        private void close() {
            gone();
            socket.close();
        }

        private void gone() {
            if (closed) {
                return;
            }
            closed = true;
            closing++;
            vertx.setTimer(1, x -> closing--);
            stream.clear(); // what refers to an ended session must not keep its bytes
            lighter(partial + unreadBytes);
            partial = 0;
            unreadBytes = 0;
            heldBack.remove(this);
            unfinished.remove(this);
            ungreeted.remove(this);
            early.remove(this);
            sessions.remove(this);
            idle.remove(this);
            for (Slot s : slots) {
                if (s.op != null && s.answer == null) {
                    lighter(taken.remove(s.op).ask.text().length);
                    loop.tell(new Happening.ClientLeft(s.op));
                }
            }
            slots.clear();
        }
    }
}
