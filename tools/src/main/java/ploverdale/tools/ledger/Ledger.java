package ploverdale.tools.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records what happened to each request of a run as its clients and servers saw it, and which rules that breaks. Times are in
 * ticks (a tenth of a millisecond).
 */
public final class Ledger {
    /** The rules that a run must keep. */
    public enum Rule {
        /** Each request gets exactly one final answer and no attempt after it; the answer comes at most {@link Ledger#SLACK_TICKS} after the timeout. */
        ONE_ANSWER_IN_TIME,
        /**
         * A write takes effect at most once and never has two attempts in flight. A write without a token is neither retried
         * nor rejected once it may have run.
         */
        NO_EFFECT_TWICE,
        /** No attempt reaches a server that its gateway has known to drain for longer than the grace period. */
        NOTHING_TO_DRAINING,
        /** No server in slow start gets so many requests that it crashes. */
        NO_SLOW_START_OVERLOAD,
        /** No read returns data older than its staleness bound, or than the last succeeded write of its session. */
        NO_STALE_READ,
        /** No gateway process ends unless it is killed or terminated. */
        NO_CRASH
    }

    /** The kinds of final answers. */
    public enum Answer {
        SUCCEEDED,
        REJECTED,
        FAILED
    }

    /**
     * A rule violation.
     *
     * @param what a description of the violation, with the request or server
     */
    public record Broken(Rule rule, String what) {}

    /**
     * The properties of a request that the rules depend on.
     *
     * @param hasToken whether servers drop repeats of this write by its token
     * @param stalenessBound the highest age of a read's data, or 0 for no bound
     */
    public record RequestTraits(boolean write, boolean hasToken, long stalenessBound) {}

    private static final long MS = 10;

    /** Added to every time limit, since sockets delay what passes them and the ledger is notified late. */
    private static final long SLACK_TICKS = 500;

    /** How long before the close of a connection a request may be written that the gateway could not have read by then. */
    private static final long CLOSE_CROSSING_TICKS = 1500;

    /** A time in which a gateway is down or paused; requests that were open in it may stay unanswered or be answered late. */
    private static final class Outage {
        private final long from;

        /** A paused gateway must still answer on the same connection what it received during the pause. */
        private final boolean paused;

        private long to = Long.MAX_VALUE;

        private Outage(long from, boolean paused) {
            this.from = from;
            this.paused = paused;
        }

        private boolean covers(Entry entry) {
            return entry.sentAt <= to && entry.timeoutAt + SLACK_TICKS >= from;
        }
    }

    /** The record of one request. */
    private static final class Entry {
        private final RequestTraits traits;
        private final String write;
        private String gateway;
        private long sentAt;
        private long timeoutAt;
        private String session;
        private long requiredPosition = Long.MIN_VALUE / 2; // that the data of a session's read must have reached
        private long committedAt = Long.MIN_VALUE / 2; // the log position of a write's effect
        private int answers;
        private long answeredAt = Long.MAX_VALUE;
        private boolean clientLeft;
        private boolean attempted; // whether an attempt has reached a server

        /** Whether an attempt has reached a server that has not reported that it had no effect. */
        private boolean mayHaveRun;

        private int attemptsInFlight;

        private Entry(RequestTraits traits, String write, String gateway, long sentAt, long timeoutAt) {
            this.traits = traits;
            this.write = write;
            this.gateway = gateway;
            this.sentAt = sentAt;
            this.timeoutAt = timeoutAt;
        }
    }

    private final long drainGrace;
    private final Map<String, Entry> requests = new LinkedHashMap<>();
    private final Map<String, Integer> applied = new HashMap<>();
    private final Map<String, Long> sessions =
            new HashMap<>(); // session to the log position of its last succeeded write
    private final Map<String, Long> drainingSince = new HashMap<>(); // by "gateway server"

    /** By "gateway server", the highest revision in which the gateway got the server as draining or removed. */
    private final Map<String, Integer> outOfServiceRevisions = new HashMap<>();

    private final Map<String, Integer> writeAttempts = new HashMap<>(); // by "gateway server"
    private final Map<String, List<Outage>> outages = new HashMap<>(); // by gateway
    private final List<Broken> broken = new ArrayList<>();

    /** @param drainGrace how long a gateway may still send attempts to a server after it learned that the server drains */
    public Ledger(long drainGrace) {
        this.drainGrace = drainGrace;
    }

    private void addViolation(Rule rule, String what) {
        broken.add(new Broken(rule, what));
    }

    /** Called when a client has sent a complete request. Without the time of sending, outages that have ended still count. */
    public void requestSent(String request, RequestTraits traits, String write, String gateway, long timeoutAt) {
        requestSent(request, traits, write, gateway, Long.MIN_VALUE, timeoutAt);
    }

    /**
     * Called when a client has sent a complete request.
     *
     * @param write the name of a write, which repeats by its client under other request ids share
     * @param at when it was sent, so that outages of the gateway that ended earlier do not count
     */
    public void requestSent(
            String request, RequestTraits traits, String write, String gateway, long at, long timeoutAt) {
        requests.put(request, new Entry(traits, write, gateway, at, timeoutAt));
    }

    /** Called when a client has sent a request again under the same id; it no longer expects an answer to the earlier one. */
    public void requestResent(String request, String gateway, long at, long timeoutAt) {
        Entry entry = requests.get(request);
        entry.gateway = gateway;
        entry.sentAt = at;
        entry.timeoutAt = timeoutAt;
        entry.answers = 0;
        entry.answeredAt = Long.MAX_VALUE;
        entry.clientLeft = false;
    }

    /** Assigns a request to a session: a read must include the last write of the session that has succeeded by now. */
    public void inSession(String request, String session) {
        Entry entry = requests.get(request);
        entry.session = session;
        entry.requiredPosition = sessions.getOrDefault(session, Long.MIN_VALUE / 2);
    }

    /** Called when a gateway is killed or cut off from its clients: the requests in flight may stay unanswered. */
    public void unavailable(String gateway, long from) {
        outages.computeIfAbsent(gateway, x -> new ArrayList<>()).add(new Outage(from, false));
    }

    /**
     * Called when a gateway process is paused: its answers may be late, but it must not close a connection with a request that
     * arrived during the pause.
     */
    public void paused(String gateway, long from) {
        outages.computeIfAbsent(gateway, x -> new ArrayList<>()).add(new Outage(from, true));
    }

    /** Called when a gateway answers again; requests sent during the outage may still be answered late. */
    public void availableAgain(String gateway, long at) {
        outages.getOrDefault(gateway, List.of()).forEach(outage -> outage.to = Math.min(outage.to, at));
    }

    private boolean hadOutage(Entry entry) {
        return outages.getOrDefault(entry.gateway, List.of()).stream().anyMatch(outage -> outage.covers(entry));
    }

    /**
     * Called when a request was written to a connection that the gateway was closing between requests. The request does not
     * count, unless an attempt has reached a server. If the gateway is down it stays in the ledger: the gateway may have sent
     * an attempt before it was killed that reaches the server only later.
     */
    public void crossedClose(String request) {
        Entry entry = requests.get(request);
        if (entry == null || entry.attempted) {
            return;
        }
        if (wasDown(entry)) {
            entry.clientLeft = true;
        } else {
            requests.remove(request);
        }
    }

    private boolean wasDown(Entry entry) {
        return outages.getOrDefault(entry.gateway, List.of()).stream()
                .anyMatch(outage -> !outage.paused && outage.covers(entry));
    }

    /**
     * Called when a gateway closed a connection with an unanswered request on it. Unless the gateway was down, that breaks a
     * rule if an attempt had reached a server, or if the request was written so long before that the gateway could have read
     * it. Otherwise the request crossed the close and does not count.
     */
    public void closedUnanswered(String request, long at) {
        Entry entry = requests.get(request);
        if (!wasDown(entry) && (entry.attempted || at - entry.sentAt > CLOSE_CROSSING_TICKS)) {
            addViolation(
                    Rule.ONE_ANSWER_IN_TIME,
                    request + " lost its connection " + (at - entry.sentAt) / 10 + " ms after it was written"
                            + (entry.attempted ? ", attempted" : "") + ", with no answer");
        }
        requests.remove(request);
    }

    /** Called when the client has closed its connection and expects no answer any more. */
    public void clientLeft(String request) {
        requests.get(request).clientLeft = true;
    }

    /** Called when a complete attempt has arrived at a server. */
    public void attemptReceived(String request, String server, long at) {
        Entry entry = requests.get(request);
        if (entry == null && FloodLedger.isFloodRequest(request)) {
            return;
        }
        if (entry == null) {
            addViolation(Rule.NO_EFFECT_TWICE, "a request that no client sent: " + request);
            return;
        }
        if (entry.answeredAt < at - SLACK_TICKS) {
            addViolation(Rule.ONE_ANSWER_IN_TIME, request + " attempted at " + server + " after its answer");
        }
        if (entry.traits.write() && !entry.traits.hasToken() && entry.mayHaveRun) {
            addViolation(Rule.NO_EFFECT_TWICE, request + " retried though it may have run");
        }
        if (entry.attemptsInFlight > 0 && entry.traits.write()) {
            addViolation(Rule.NO_EFFECT_TWICE, request + " has two attempts in flight");
        }
        if (drainingSince.getOrDefault(entry.gateway + " " + server, Long.MAX_VALUE) < at - drainGrace - SLACK_TICKS) {
            addViolation(Rule.NOTHING_TO_DRAINING, request + " attempted at draining " + server);
        }
        entry.attemptsInFlight++;
        entry.attempted = true;
        entry.mayHaveRun = true;
        if (entry.traits.write()) {
            writeAttempts.merge(entry.gateway + " " + server, 1, Integer::sum);
        }
    }

    /** Called when a server has rejected an attempt, which proves that it had no effect. */
    public void attemptRejected(String request) {
        Entry entry = requests.get(request);
        if (entry != null) {
            entry.mayHaveRun = false;
            entry.attemptsInFlight--;
        }
    }

    /** Called when an attempt is no longer in flight: it was answered, or its connection was closed. */
    public void attemptEnded(String request) {
        Entry entry = requests.get(request);
        if (entry != null) {
            entry.attemptsInFlight = Math.max(0, entry.attemptsInFlight - 1);
        }
    }

    /** Called when a write has taken effect at a log position. */
    public void applied(String request, long position) {
        Entry entry = requests.get(request);
        if (entry != null) {
            entry.committedAt = position;
        }
        applied(request);
    }

    /** Called when a write has taken effect, if its log position does not matter. */
    public void applied(String request) {
        Entry entry = requests.get(request);
        if (entry != null && applied.merge(entry.write, 1, Integer::sum) > 1) {
            addViolation(
                    Rule.NO_EFFECT_TWICE,
                    "write " + entry.write + " took effect " + applied.get(entry.write) + " times");
        }
    }

    /**
     * Called when a server has answered a read.
     *
     * @param position the log position of the data
     * @param arrivedAt when the attempt arrived at the server
     */
    public void readServed(String request, long position, long arrivedAt) {
        Entry entry = requests.get(request);
        if (entry != null
                && entry.traits.stalenessBound() > 0
                && arrivedAt - position > entry.traits.stalenessBound() + SLACK_TICKS) {
            addViolation(Rule.NO_STALE_READ, request + " read from data " + (arrivedAt - position) / 10 + " ms old");
        }
    }

    /** Called when a server has answered a session's read. Allows 1 ms, since gateways see positions only that exactly. */
    public void sessionReadServed(String request, long position) {
        Entry entry = requests.get(request);
        if (entry != null && position < entry.requiredPosition - MS) {
            addViolation(
                    Rule.NO_STALE_READ,
                    request + " of " + entry.session + " read from " + (entry.requiredPosition - position) / 10
                            + " ms before its last succeeded write");
        }
    }

    /** Called when the client has received a final answer. */
    public void answered(String request, Answer answer, long at) {
        Entry entry = requests.get(request);
        entry.answers++;
        entry.answeredAt = Math.min(entry.answeredAt, at);
        if (answer == Answer.SUCCEEDED && entry.session != null && entry.traits.write()) {
            sessions.merge(entry.session, entry.committedAt, Math::max);
        }
        if (entry.answers > 1) {
            addViolation(Rule.ONE_ANSWER_IN_TIME, request + " answered " + entry.answers + " times");
        }
        if (at > entry.timeoutAt + SLACK_TICKS && !hadOutage(entry)) {
            addViolation(Rule.ONE_ANSWER_IN_TIME, request + " answered " + (at - entry.timeoutAt) / 10 + " ms late");
        }
        if (answer == Answer.REJECTED && entry.traits.write() && !entry.traits.hasToken() && entry.mayHaveRun) {
            addViolation(Rule.NO_EFFECT_TWICE, request + " rejected though it may have run");
        }
        if (answer == Answer.SUCCEEDED && entry.traits.write() && !applied.containsKey(entry.write)) {
            addViolation(Rule.ONE_ANSWER_IN_TIME, request + " succeeded without its effect");
        }
    }

    /** Called when a gateway has learned that a server drains. */
    public void drainReported(String gateway, String server, long at) {
        drainingSince.putIfAbsent(gateway + " " + server, at);
    }

    /** Called when a gateway has received an endpoint list of this revision in which a server drains or is removed. */
    public void outOfServiceReported(String gateway, String server, int revision, long at) {
        drainReported(gateway, server, at);
        outOfServiceRevisions.merge(gateway + " " + server, revision, Math::max);
    }

    /**
     * Called when a gateway has received an endpoint list of this revision in which a server is in service. Has no effect if
     * the revision is not higher than that of the drain.
     */
    public void inServiceReported(String gateway, String server, int revision) {
        String key = gateway + " " + server;
        if (outOfServiceRevisions.getOrDefault(key, Integer.MAX_VALUE) < revision) {
            outOfServiceRevisions.remove(key);
            drainingSince.remove(key);
        }
    }

    /** Called when a gateway process starts, which has received no endpoint list yet. */
    public void forgetEndpointLists(String gateway) {
        outOfServiceRevisions.keySet().removeIf(key -> key.startsWith(gateway + " "));
        drainingSince.keySet().removeIf(key -> key.startsWith(gateway + " "));
    }

    /** Called when a server in slow start has crashed under too many requests. */
    public void serverOverloaded(String server) {
        addViolation(Rule.NO_SLOW_START_OVERLOAD, server + " crashed in slow start");
    }

    /** Returns the number of write attempts of a gateway that have arrived at a server. */
    public int writesSent(String gateway, String server) {
        return writeAttempts.getOrDefault(gateway + " " + server, 0);
    }

    /** Returns the number of requests recorded. */
    public int requests() {
        return requests.size();
    }

    /** Returns all violations at the end of a run, including the requests that have no answer by now. */
    public List<Broken> close(long at) {
        requests.forEach((request, entry) -> {
            if (entry.answers == 0 && !entry.clientLeft && at > entry.timeoutAt + SLACK_TICKS && !hadOutage(entry)) {
                addViolation(Rule.ONE_ANSWER_IN_TIME, request + " has no answer");
            }
        });
        return List.copyOf(broken);
    }
}
