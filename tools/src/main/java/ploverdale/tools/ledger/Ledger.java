package ploverdale.tools.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What happened to each op, and which rules that breaks. Times in tenths of a millisecond. */
public final class Ledger {
    /** The rules, in the order of the project's pages. */
    public enum Rule {
        ONE_ANSWER_IN_TIME,
        NO_EFFECT_TWICE,
        NOTHING_TO_DRAINING,
        NO_COLD_PUSHED_OVER,
        NO_STALE_READ
    }

    /** A final answer. */
    public enum Answer {
        ACKED,
        BUSY,
        ERRORED
    }

    /** A rule that was broken, and by what. */
    public record Broken(Rule rule, String what) {}

    /** What an op may do, for the rules. */
    public record Kind(boolean write, boolean tokened, long bound) {}

    private static final long MS = 10;
    private static final long SLACK = 500; // of the platform's rules on sockets, and for this account's own lateness

    private static final long CROSSING =
            1500; // between the end of a connection and an op that the other side wrote at that time

    /** Why a gateway may be late: what it was sent within this time may stay unanswered. */
    private static final class Excuse {
        private final long from;
        private final boolean paused; // it only stood still, and has to answer what came meanwhile
        private long to = Long.MAX_VALUE;

        private Excuse(long from, boolean paused) {
            this.from = from;
            this.paused = paused;
        }

        private boolean covers(Entry e) {
            return e.takenAt <= to && e.timeoutAt + SLACK >= from;
        }
    }

    private static final class Entry {
        private final Kind kind;
        private final String write;
        private String gateway;
        private long takenAt;
        private long timeoutAt;
        private String session;
        private long mustReach = Long.MIN_VALUE / 2;
        private long committedAt = Long.MIN_VALUE / 2;
        private int answers;
        private long answeredAt = Long.MAX_VALUE;
        private boolean left;
        private boolean sent;
        private boolean mayHaveRun;
        private int out;

        private Entry(Kind kind, String write, String gateway, long takenAt, long timeoutAt) {
            this.kind = kind;
            this.write = write;
            this.gateway = gateway;
            this.takenAt = takenAt;
            this.timeoutAt = timeoutAt;
        }
    }

    private final long grace;
    private final Map<String, Entry> requests = new LinkedHashMap<>();
    private final Map<String, Integer> applied = new HashMap<>();
    private final Map<String, Long> sessions = new HashMap<>(); // by session, the position of its last acked write
    private final Map<String, Long> drainingSince = new HashMap<>(); // by gateway and server
    private final Map<String, Integer> outOfServiceRevisions = new HashMap<>(); // the same; the highest that told so
    private final Map<String, Integer> sends = new HashMap<>(); // of writes, by gateway and server
    private final Map<String, List<Excuse>> excuses = new HashMap<>(); // by gateway
    private final List<Broken> broken = new ArrayList<>();

    /** @param grace after which nothing new goes to a draining server */
    public Ledger(long grace) {
        this.grace = grace;
    }

    private void breaks(Rule rule, String what) {
        broken.add(new Broken(rule, what));
    }

    /** A client has sent an op whole. A write is known by a name that its repeats by the client share. */
    public void taken(String request, Kind kind, String write, String gateway, long timeoutAt) {
        taken(request, kind, write, gateway, Long.MIN_VALUE, timeoutAt);
    }

    /** The same, with when; only so can an excuse of its gateway be told from one that has ended before. */
    public void taken(String request, Kind kind, String write, String gateway, long at, long timeoutAt) {
        requests.put(request, new Entry(kind, write, gateway, at, timeoutAt));
    }

    /** Its client, which has no use any more for an answer to an earlier submit, has sent it whole once more under its id. */
    public void takenAgain(String request, String gateway, long at, long timeoutAt) {
        Entry e = requests.get(request);
        e.gateway = gateway;
        e.takenAt = at;
        e.timeoutAt = timeoutAt;
        e.answers = 0;
        e.answeredAt = Long.MAX_VALUE;
        e.left = false;
    }

    /** An op that was just taken is one of a session: a read has to reach the last write that its client saw acked. */
    public void session(String request, String session) {
        Entry e = requests.get(request);
        e.session = session;
        e.mustReach = sessions.getOrDefault(session, Long.MIN_VALUE / 2);
    }

    /** This gateway is dead, stopped, or cut off from its clients from now on: what it has in hand may stay unanswered. */
    public void excused(String gateway, long from) {
        excuses.computeIfAbsent(gateway, x -> new ArrayList<>()).add(new Excuse(from, false));
    }

    /** It stands still from now on: its answers may be late, but it may not end a connection with an op that came meanwhile. */
    public void paused(String gateway, long from) {
        excuses.computeIfAbsent(gateway, x -> new ArrayList<>()).add(new Excuse(from, true));
    }

    /** It answers again from now on; what it was sent meanwhile may still come late. */
    public void answersAgain(String gateway, long at) {
        excuses.getOrDefault(gateway, List.of()).forEach(e -> e.to = Math.min(e.to, at));
    }

    private boolean isExcused(Entry e) {
        return excuses.getOrDefault(e.gateway, List.of()).stream().anyMatch(x -> x.covers(e));
    }

    /**
     * Its connection was ended between ops, and this one crossed that: not taken, unless it was sent on. A gateway that was killed may
     * have sent it on just before, on a way that takes a while.
     */
    public void crossed(String request) {
        Entry e = requests.get(request);
        if (e == null || e.sent) {
            return;
        }
        if (isDown(e)) {
            e.left = true;
        } else {
            requests.remove(request);
        }
    }

    private boolean isDown(Entry e) {
        return excuses.getOrDefault(e.gateway, List.of()).stream().anyMatch(x -> !x.paused && x.covers(e));
    }

    /**
     * The gateway, which lives, ended a connection at that time with this op on it and no answer. That breaks a rule where the
     * op was sent on, or had come so long before that the gateway could have read it; otherwise it crossed the end.
     */
    public void endedUnanswered(String request, long at) {
        Entry e = requests.get(request);
        if (!isDown(e) && (e.sent || at - e.takenAt > CROSSING)) {
            breaks(
                    Rule.ONE_ANSWER_IN_TIME,
                    request + " lost its connection " + (at - e.takenAt) / 10 + " ms after it was written"
                            + (e.sent ? ", sent on" : "") + ", with no answer");
        }
        requests.remove(request);
    }

    /** The client has gone. */
    public void left(String request) {
        requests.get(request).left = true;
    }

    /** A send has arrived whole at a server. */
    public void sent(String request, String server, long at) {
        Entry e = requests.get(request);
        if (e == null) {
            breaks(Rule.NO_EFFECT_TWICE, "an op that no client sent: " + request);
            return;
        }
        if (e.answeredAt < at - SLACK) {
            breaks(Rule.ONE_ANSWER_IN_TIME, request + " sent to " + server + " after its answer");
        }
        if (e.kind.write() && !e.kind.tokened() && e.mayHaveRun) {
            breaks(Rule.NO_EFFECT_TWICE, request + " sent again though it may have run");
        }
        if (e.out > 0 && e.kind.write()) {
            breaks(Rule.NO_EFFECT_TWICE, request + " has two sends out");
        }
        if (drainingSince.getOrDefault(e.gateway + " " + server, Long.MAX_VALUE) < at - grace - SLACK) {
            breaks(Rule.NOTHING_TO_DRAINING, request + " sent to draining " + server);
        }
        e.out++;
        e.sent = true;
        e.mayHaveRun = true;
        if (e.kind.write()) {
            sends.merge(e.gateway + " " + server, 1, Integer::sum);
        }
    }

    /** A send has ended at the server without an effect, and said so: turned away or full. */
    public void proved(String request) {
        Entry e = requests.get(request);
        if (e != null) {
            e.mayHaveRun = false;
            e.out--;
        }
    }

    /** A send is out no more: answered, or its connection has ended. */
    public void over(String request) {
        Entry e = requests.get(request);
        if (e != null) {
            e.out = Math.max(0, e.out - 1);
        }
    }

    /** A write has had its effect, at that position. */
    public void applied(String request, long position) {
        Entry e = requests.get(request);
        if (e != null) {
            e.committedAt = position;
        }
        applied(request);
    }

    /** The same, where its position is of no interest. */
    public void applied(String request) {
        Entry e = requests.get(request);
        if (e != null && applied.merge(e.write, 1, Integer::sum) > 1) {
            breaks(Rule.NO_EFFECT_TWICE, "write " + e.write + " has its effect " + applied.get(e.write) + " times");
        }
    }

    /** A server has answered a read from data of this position, for a send that arrived then. */
    public void read(String request, long position, long arrivedAt) {
        Entry e = requests.get(request);
        if (e != null && e.kind.bound() > 0 && arrivedAt - position > e.kind.bound() + SLACK) {
            breaks(Rule.NO_STALE_READ, request + " read from data " + (arrivedAt - position) / 10 + " ms old");
        }
    }

    /** The same for a read of a session; a millisecond is lost in telling positions. */
    public void readInSession(String request, long position) {
        Entry e = requests.get(request);
        if (e != null && position < e.mustReach - MS) {
            breaks(
                    Rule.NO_STALE_READ,
                    request + " of " + e.session + " read from " + (e.mustReach - position) / 10
                            + " ms before its last acked write");
        }
    }

    /** The client has its final answer. */
    public void answered(String request, Answer answer, long at) {
        Entry e = requests.get(request);
        e.answers++;
        e.answeredAt = Math.min(e.answeredAt, at);
        if (answer == Answer.ACKED && e.session != null && e.kind.write()) {
            sessions.merge(e.session, e.committedAt, Math::max);
        }
        if (e.answers > 1) {
            breaks(Rule.ONE_ANSWER_IN_TIME, request + " answered " + e.answers + " times");
        }
        if (at > e.timeoutAt + SLACK && !isExcused(e)) {
            breaks(Rule.ONE_ANSWER_IN_TIME, request + " answered " + (at - e.timeoutAt) / 10 + " ms late");
        }
        if (answer == Answer.BUSY && e.kind.write() && !e.kind.tokened() && e.mayHaveRun) {
            breaks(Rule.NO_EFFECT_TWICE, request + " busy-replied though it may have run");
        }
        if (answer == Answer.ACKED && e.kind.write() && !applied.containsKey(e.write)) {
            breaks(Rule.ONE_ANSWER_IN_TIME, request + " acked without its effect");
        }
    }

    /** A gateway was told that a server drains. */
    public void toldOfDrain(String gateway, String server, long at) {
        drainingSince.putIfAbsent(gateway + " " + server, at);
    }

    /** A gateway was told by a list of this revision that a server drains or is removed. */
    public void toldOutOfService(String gateway, String server, int revision, long at) {
        toldOfDrain(gateway, server, at);
        outOfServiceRevisions.merge(gateway + " " + server, revision, Math::max);
    }

    /** A gateway was told by a list of this revision that a server is in service; an older list than that of the drain says nothing. */
    public void toldInService(String gateway, String server, int revision) {
        String key = gateway + " " + server;
        if (outOfServiceRevisions.getOrDefault(key, Integer.MAX_VALUE) < revision) {
            outOfServiceRevisions.remove(key);
            drainingSince.remove(key);
        }
    }

    /** A new process has been told nothing yet. */
    public void forgetsLists(String gateway) {
        outOfServiceRevisions.keySet().removeIf(key -> key.startsWith(gateway + " "));
        drainingSince.keySet().removeIf(key -> key.startsWith(gateway + " "));
    }

    /** A cold server has fallen over. */
    public void fell(String server) {
        breaks(Rule.NO_COLD_PUSHED_OVER, server + " was pushed over");
    }

    /** Writes that a gateway sent to a server. */
    public int writesSent(String gateway, String server) {
        return sends.getOrDefault(gateway + " " + server, 0);
    }

    /** Ops taken. */
    public int requests() {
        return requests.size();
    }

    /** All that is broken, at the end of a run: each op must have its answer by now. */
    public List<Broken> close(long at) {
        requests.forEach((request, e) -> {
            if (e.answers == 0 && !e.left && at > e.timeoutAt + SLACK && !isExcused(e)) {
                breaks(Rule.ONE_ANSWER_IN_TIME, request + " has no answer");
            }
        });
        return List.copyOf(broken);
    }
}
