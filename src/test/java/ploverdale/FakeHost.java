package ploverdale;

import java.util.ArrayList;
import java.util.List;
import ploverdale.model.Action;
import ploverdale.model.CopyKeeping;
import ploverdale.model.GroupId;
import ploverdale.model.Happening;
import ploverdale.model.Happening.Ending;
import ploverdale.model.Listing;
import ploverdale.model.OpId;
import ploverdale.model.OpType;
import ploverdale.model.OpType.Needs;
import ploverdale.model.OpType.Repeats;
import ploverdale.model.OpTypeId;
import ploverdale.model.Permits;
import ploverdale.model.Pledges;
import ploverdale.model.ServerId;
import ploverdale.model.SessionId;
import ploverdale.model.Telling;
import ploverdale.model.Telling.Role;
import ploverdale.model.Tenant;
import ploverdale.model.TenantId;
import ploverdale.model.ZoneId;

/** Stands in for a gateway's surroundings; the clock moves only when a story says so. Times in milliseconds. */
final class FakeHost {
    static final int VIEW = 0;
    static final int HISTORY = 1;
    static final int SUBMIT = 2;
    static final int TOKENED = 3;
    static final int SESSION = 4;
    static final int FRESH = 5;
    static final int SCAN = 6;

    final Logic logic = new Logic();
    final List<Action> acts = new ArrayList<>();
    long nowMs = 100_000;
    private int names;

    FakeHost() {
        this(CopyKeeping.Checks.NONE, false, true, 1);
    }

    FakeHost(CopyKeeping.Checks checks, boolean tokensCarried, boolean removalBinds, int gateways) {
        List<OpType> types = List.of(type(Repeats.RETRYABLE, Needs.BOUNDED, 0), type(Repeats.RETRYABLE, Needs.UNBOUNDED, 0),
                type(Repeats.NON_RETRYABLE, Needs.WRITE, 0.5), type(Repeats.TOKENED, Needs.WRITE, 0.7),
                type(Repeats.RETRYABLE, Needs.SESSION, 0), type(Repeats.RETRYABLE, Needs.FRESH, 0),
                type(20_000, Repeats.RETRYABLE, Needs.UNBOUNDED, 0));
        tell(new Happening.Started(6 + gateways, gateways, types, List.of(new Tenant(100)), 0.05,
                new Pledges(0.2, 160_000, 2.5, 10_000, removalBinds, 0), new Permits(6, true, true, true, 10_000),
                new CopyKeeping(checks, 500, tokensCarried), false));
    }

    private static OpType type(Repeats repeats, Needs needs, double late) {
        return type(5000, repeats, needs, late);
    }

    private static OpType type(long target, Repeats repeats, Needs needs, double late) {
        return new OpType(target, 0, 30_000, repeats, OpType.Scope.GROUP, 20_000, needs == Needs.WRITE ? 6 : 2, late,
                false, needs, 5000);
    }

    /** A host with a primary p and replicas r1, r2, all probed and level. */
    static FakeHost settled() {
        FakeHost h = new FakeHost();
        h.list(true, "p", "r1", "r2");
        h.levelled("p", "r1", "r2");
        return h;
    }

    void levelled(String primary, String... replicas) {
        probed(primary, Role.PRIMARY, nowMs);
        for (String r : replicas) {
            probed(r, Role.REPLICA, nowMs);
        }
    }

    /** Lets this time pass, after which the primary is level and the replicas stand where they stood. */
    void lagging(long ms) {
        long was = nowMs;
        nowMs += ms;
        probed("p", Role.PRIMARY, nowMs);
        probed("r1", Role.REPLICA, was);
        probed("r2", Role.REPLICA, was);
    }

    List<Action> tell(Happening h) {
        List<Action> now = logic.on(nowMs * 10, h);
        acts.addAll(now);
        return now;
    }

    void list(boolean whole, String... servers) {
        List<Listing> rows = new ArrayList<>();
        for (String s : servers) {
            rows.add(row(s, Listing.Stage.IN, 0));
        }
        tell(new Happening.ListTold(whole, false, rows));
    }

    void listed(String server, Listing.Stage stage, long startedMs) {
        tell(new Happening.ListTold(false, false, List.of(row(server, stage, startedMs))));
    }

    private static Listing row(String server, Listing.Stage stage, long startedMs) {
        return new Listing(new ServerId(server), new GroupId(1), new ZoneId(0), stage, server.equals("p"), startedMs * 10);
    }

    /** Moves the clock, looking round every 20 ms as the module asked to. */
    void pass(long ms) {
        for (long end = nowMs + ms; nowMs < end; ) {
            nowMs = Math.min(end, nowMs + 20);
            tell(new Happening.WakeUp(0));
        }
    }

    void probed(String server, Role role, long positionMs) {
        tell(new Happening.ProbeEnded(new ServerId(server), Ending.ACKED, new Telling(role, positionMs * 10)));
    }

    void unanswered(String server) {
        tell(new Happening.ProbeEnded(new ServerId(server), Ending.TIMED_OUT, null));
    }

    OpId ask(int type) {
        return ask(type, null, 0);
    }

    OpId ask(int type, String session, long tokenAgeMs) {
        OpId op = new OpId("op" + names++);
        tell(new Happening.OpArrived(op, new OpTypeId(type), new TenantId(0), new GroupId(1),
                session == null ? null : new SessionId(session), nowMs * 10 + 30_000, false, 0, tokenAgeMs * 10));
        return op;
    }

    void ends(OpId op, int send, String server, Ending ending, Telling note) {
        boolean settled = ending == Ending.ACKED;
        tell(new Happening.SendEnded(op, send, new ServerId(server), ending, 1000, settled, note, null));
    }

    /** Servers the op was sent to, in order. */
    List<String> sends(OpId op) {
        return acts.stream().filter(a -> a instanceof Action.Send s && s.op().equals(op))
                .map(a -> ((Action.Send) a).server().text()).toList();
    }

    long busyReplies(OpId op) {
        return acts.stream().filter(a -> a instanceof Action.BusyReply b && b.op().equals(op)).count();
    }

    long errorReplies(OpId op) {
        return acts.stream().filter(a -> a instanceof Action.ErrorReply b && b.op().equals(op)).count();
    }

    boolean calledOff(OpId op) {
        return acts.stream().anyMatch(a -> a instanceof Action.CallOff c && c.op().equals(op));
    }

    long probes(String server) {
        return acts.stream().filter(a -> a instanceof Action.Probe p && p.server().text().equals(server)).count();
    }

    boolean logged(String part) {
        return acts.stream().anyMatch(a -> a instanceof Action.LogLine l && l.text().contains(part));
    }
}
