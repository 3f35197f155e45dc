package ploverdale;

import java.util.*;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import ploverdale.model.*;
import ploverdale.model.Happening.Ending;
import ploverdale.model.OpType.Needs;
import ploverdale.model.OpType.Repeats;
import ploverdale.model.Telling.Role;
import ploverdale.state.*;
import ploverdale.state.Member.Trust;

/**
 * All decisions of one gateway. The host makes one Logic a gateway and hands every {@link Happening} to
 * {@link #on}, in order, with the clock; it carries out the returned {@link Action}s, in order. Both are in
 * ploverdale.model; what is held about servers, groups and ops is in ploverdale.state. The method is told in
 * docs/design.md. Times are tenths of a millisecond.
 */
public final class Logic {
    private static final long MS = 10;
    private static final long BEAT = 20 * MS; // looks round this often; short beside any latency target
    private static final long IDLE_BEAT = 200 * MS; // the same, while no op is held or out
    private static final long MARGIN = 10 * MS; // kept free before a limit, so that a tick does no harm
    private static final double FIRST_GUESS = 0.2; // of the target, as usual latency until answers tell
    private static final double FIRST_LIMIT = 24; // sends out a server, over all gateways, until answers tell
    private static final double LEAST_LIMIT = 8; // the same, at the least; one or two a gateway
    private static final double COME_BACK = 0.25; // of the target; later, a second try would be in vain
    private static final int SESSIONS_MOST = 50_000; // some megabytes

    private RandomGenerator chance;
    private double firstLimit;
    private double leastLimit;
    private double firstProbe;
    private List<OpType> opTypes;
    private double beyondShareValue;
    private Pledges pledges;
    private Permits permits;
    private CopyKeeping copies;
    private long tightestBound = Long.MAX_VALUE;
    private long probeEvery;

    private final Map<ServerId, Member> members = new LinkedHashMap<>();
    private final Map<GroupId, Group> groups = new LinkedHashMap<>();
    private final Map<OpId, Op> ops = new LinkedHashMap<>();
    private final Map<SessionId, Long> sessionWrites = new HashMap<>();
    private long forgottenWrites = Telling.UNTOLD;
    private final List<Pace> paces = new ArrayList<>();
    private double[] shareRate;
    private double[] shareLeft;
    private long sharesAt;
    private double resendsLeft = SAVED_MOST;
    private double probesLeft;
    private double shedPrice;
    private long askListAt = Long.MAX_VALUE;
    private long scarceUntil = Telling.UNTOLD;
    private long nextBeat = Long.MIN_VALUE;

    private long now;
    private List<Action> out;

    /** The one way in: takes what happened, returns what is to be done. */
    public List<Action> on(long time, Happening h) {
        now = time;
        out = new ArrayList<>();
        if (h instanceof Happening.OpArrived a) {
            arrived(a);
        } else if (h instanceof Happening.SendEnded e) {
            sendEnded(e);
        } else if (h instanceof Happening.WakeUp) {
            beat();
        } else if (h instanceof Happening.ProbeEnded e) {
            probeEnded(e);
        } else if (h instanceof Happening.ListTold l) {
            listTold(l);
        } else if (h instanceof Happening.ClientLeft c) {
            clientLeft(c.op());
        } else if (h instanceof Happening.Started s) {
            started(s);
        }
        return out;
    }

    private void started(Happening.Started s) {
        chance = new SplittableRandom(s.seed());
        int gateways = Math.max(1, s.gateways());
        leastLimit = Math.min(2, Math.max(1, LEAST_LIMIT / gateways));
        firstLimit = Math.max(leastLimit, FIRST_LIMIT / gateways);
        firstProbe = FIRST_PROBES / gateways;
        opTypes = s.opTypes();
        beyondShareValue = s.beyondShareValue();
        pledges = s.pledges();
        permits = s.permits();
        copies = s.copies();
        shareRate = s.tenants().stream().mapToDouble(t -> t.opsPerSecond() / gateways).toArray();
        shareLeft = shareRate.clone();
        sharesAt = now;
        probeEvery = PROBE_EVERY_UNBOUND;
        for (OpType t : opTypes) {
            paces.add(new Pace(t.latencyTarget() * FIRST_GUESS));
            if (t.needs() == Needs.BOUNDED) {
                tightestBound = Math.min(tightestBound, t.stalenessBound());
                probeEvery = Math.min(probeEvery, (long) (t.stalenessBound() * PROBE_SHARE_OF_BOUND));
            }
        }
        askListAt = s.listOnDemand() ? now : Long.MAX_VALUE;
        beat();
    }

    // -- The list of servers

    private void listTold(Happening.ListTold told) {
        if (told.failed()) { // guards against a list service that is down: ask again, spread out by chance
            askListAt = now + 500 * MS + chance.nextInt(1000) * MS;
            return;
        }
        List<Member> missing = new ArrayList<>(told.whole() ? members.values() : List.of());
        for (Listing l : told.listings()) {
            Member m = members.get(l.server());
            if (m == null) {
                m = new Member(l.server(), groups.computeIfAbsent(l.group(), Group::new), firstLimit);
                members.put(m.id, m);
                m.group.members.add(m);
                if (l.stage() == Listing.Stage.IN && chance.nextDouble() < firstProbe) {
                    probe(m);
                }
            }
            missing.remove(m);
            m.zone = l.zone();
            stage(m, l.stage());
            if (l.primary() && m.group.primary == null && m.role == Role.UNKNOWN && isIn(m)) {
                m.group.primary = m; // a hint, until the member itself is heard
            }
            if (l.startedAt() > m.startedAt) {
                m.startedAt = l.startedAt();
                m.coldSince = Math.max(m.coldSince, l.startedAt());
                m.usualStretch = m.stretch = 1;
            }
        }
        missing.forEach(m -> stage(m, Listing.Stage.GONE));
    }

    private void stage(Member m, Listing.Stage stage) {
        m.drainSeen |= stage == Listing.Stage.DRAINING;
        boolean binds = stage != Listing.Stage.GONE || pledges.removalBinds() || m.drainSeen;
        if (binds && m.stage != stage) {
            m.stage = stage;
            m.drainSeen &= stage != Listing.Stage.IN;
            log("server " + m.id.text() + " listed " + stage);
        }
    }

    // -- What an op asks for

    private void arrived(Happening.OpArrived a) {
        OpType type = opTypes.get(a.type().index());
        long target = now + type.latencyTarget() + (long) (type.targetPerWork() * a.expectedWork())
                - (a.again() ? (long) (COME_BACK * type.latencyTarget()) : 0); // spent on the earlier try
        Op op = new Op(a, type, now, Math.min(target, now + type.opTimeout()));
        op.needPosition = needPosition(a, type);
        op.beyondShare = beyondShare(a.tenant().index());
        ops.put(a.op(), op);
        wakeIn(BEAT);
        groups.computeIfAbsent(a.group(), Group::new).askedAt = now;
        resendsLeft = Math.min(SAVED_MOST, resendsLeft + RESENDS_PER_OP);
        probesLeft = Math.min(SAVED_MOST, probesLeft + PROBES_PER_OP);
        place(op);
    }

    /** A session's last write, as the position its reads must reach; others have none that stands still. */
    private long needPosition(Happening.OpArrived a, OpType type) {
        if (type.needs() != Needs.SESSION || copies.tokensCarried() && a.tokenAge() == 0) {
            return Telling.UNTOLD;
        }
        return copies.tokensCarried() ? now - a.tokenAge()
                : sessionWrites.getOrDefault(a.session(), forgottenWrites);
    }

    /** Remembers a session's write; past the most kept, all are folded into one floor. */
    private void remember(SessionId session, long committedAt) {
        if (sessionWrites.size() >= SESSIONS_MOST) {
            forgottenWrites = Math.max(forgottenWrites, Collections.max(sessionWrites.values()));
            sessionWrites.clear();
        }
        sessionWrites.put(session, committedAt);
    }

    private boolean beyondShare(int tenant) {
        if (tenant >= shareLeft.length) {
            return false;
        }
        for (int i = 0; i < shareLeft.length; i++) {
            shareLeft[i] = Math.min(shareRate[i], shareLeft[i] + shareRate[i] * (now - sharesAt) / (1000.0 * MS));
        }
        sharesAt = now;
        boolean beyond = shareLeft[tenant] < 1;
        shareLeft[tenant] -= beyond ? 0 : 1;
        return beyond;
    }

    /** The last moment at which an answer to this op is worth anything. */
    private long worthUntil(Op op) {
        long timeout = op.asked.timeoutAt() - MARGIN;
        return op.type.lateShare() > 0 ? timeout : Math.min(timeout, op.targetAt - MARGIN);
    }

    // -- Where an op goes: role, freshness, drain/cold/health, spread, worth sending

    private static final double WORTH_SENDING = 0.5; // of usual latency must be left; many ops are shorter
    private static final double PRICE_WEIGHT = 0.02; // of the newest op in what refusals cost
    private static final double HOPELESS = 2.5; // usual latencies left when a held op gives up; 1.2 timed out
    private static final long LEVEL_HOLDS = 4000 * MS; // a replica heard level may go first this long
    private static final double GATE = 2.5; // times usual latency at which the primary takes no reads
    private static final double PRIMARY_BUSY = 0.95; // told busy part of its cores, with the same effect
    private static final double REPLICA_BUSY = 1.05; // the same for a replica; queues grow from 0.8 on
    private static final double BUSY_BAND = 0.25; // below these, over which ever fewer reads get in, by chance
    private static final long OWN_NEWS = 250 * MS; // own latencies no older than this are better news than its word
    private static final double PRIMARY_READ_SHARE = 0.7; // of the primary's limit; the rest is for writes
    private static final double WRITE_SHARE = 2; // of the primary's limit; late writes still have a value
    private static final double AVOID_COST = 3; // times; where a send failed before, and a rank of long reads

    private static final Member HOLD = new Member(null, null, 0); // stands for a choice to wait

    private boolean place(Op op) {
        Group g = groups.computeIfAbsent(op.asked.group(), Group::new);
        boolean toPrimary = op.type.needs() == Needs.WRITE || op.type.needs() == Needs.FRESH;
        Member to = !mayStillSend(op) ? null : toPrimary ? primaryFor(op, g) : memberFor(op, g);
        if (to == HOLD && now < holdUntil(op)) {
            g.held.add(op);
            return false;
        }
        g.held.remove(op);
        boolean go = to != null && to != HOLD && !shed(op, to)
                && worthUntil(op) - now >= WORTH_SENDING * paceOf(op).usual * to.stretch;
        if (op.sends == 0) {
            shedPrice += PRICE_WEIGHT * ((go ? 0 : valuePerWork(op)) - shedPrice);
        }
        if (go) {
            send(op, to);
        } else {
            finish(op);
        }
        return true;
    }

    /** Guards against long reads that age out replicas, or keep them so, while worthier ops are refused. */
    private boolean shed(Op op, Member m) {
        return op.sends == 0 && longRead(op) && valuePerWork(op) < shedPrice
                && (now - m.position <= tightestBound || m.out.values().stream().anyMatch(this::longRead));
    }

    private boolean mayStillSend(Op op) {
        return op.sends < permits.sendsPerOp() && (!op.mayHaveRun || op.type.repeats() == Repeats.RETRYABLE
                || op.type.repeats() == Repeats.TOKENED && now < op.repeatUntil);
    }

    /** A tokened op that may have run goes only where its repeat is known. */
    private boolean knowsRepeat(Op op, Member m) {
        return !op.mayHaveRun || op.type.repeats() != Repeats.TOKENED || op.type.scope() == OpType.Scope.ALL
                || op.type.scope() == OpType.Scope.GROUP && m.group.equals(op.firstMaybeServer.group)
                || op.type.scope() == OpType.Scope.ZONE && m.zone.equals(op.firstMaybeServer.zone);
    }

    private long holdUntil(Op op) {
        long end = Math.min(worthUntil(op), op.repeatUntil);
        long hopeless = op.type.lateShare() > 0 ? 0 : (long) (HOPELESS * paceOf(op).usual);
        return Math.min(end, Math.max(end - hopeless, op.arrivedAt + 2 * PATIENCE)) - BEAT;
    }

    private Member primaryFor(Op op, Group g) {
        Member p = g.primary;
        boolean known = p != null && isIn(p) && p.trust != Trust.SILENT;
        if (!known || !heardLately(p)) {
            ask(g, m -> !known || m == p);
        }
        return known && heardLately(p) && trusted(p) && knowsRepeat(op, p) && hasRoom(p, WRITE_SHARE)
                && coldAllows(p, op) ? p : HOLD;
    }

    private Member memberFor(Op op, Group g) {
        Member best = spread(op, g, m -> admits(m, op));
        boolean checked = copies.checks() != CopyKeeping.Checks.NONE;
        if (best == null && checked) {
            best = spread(op, g, m -> lagsALittle(m, op));
        }
        if (best != null) {
            return best;
        }
        Member p = g.primary;
        if (ask(g, m -> !heardLately(m) || !checked && m != p && !admits(m, op) && now - m.positionToldAt > ASK_AGAIN)) {
            return HOLD;
        }
        if (p != null && isIn(p) && p.trust == Trust.WELL && heardLately(p) && hasRoom(p, PRIMARY_READ_SHARE)
                && stretchNow(p) <= GATE * Math.max(1, p.usualStretch)
                && notTooBusy(p, PRIMARY_BUSY) && coldAllows(p, op)) {
            return p; // also while the admitted replicas are full
        }
        // Waits for room, or for a replica little too old by a report that is old itself to be asked again.
        return g.members.stream().anyMatch(m -> m != p && isIn(m) && m.trust == Trust.WELL && heardLately(m)
                && m.busy < REPLICA_BUSY - BUSY_BAND && (admits(m, op) || op.type.needs() == Needs.BOUNDED
                && !checked && now - m.position <= 2 * op.type.stalenessBound())) ? HOLD : null;
    }

    // Guards against many small gateways that together crowd a server while each has next to nothing out there:
    // the busier it says it is, the fewer reads each sends, by own chance, unless it has newer answers of its own.
    private boolean notTooBusy(Member m, double shut) {
        return now - m.stretchAt < OWN_NEWS || chance.nextDouble() < (shut - m.busy) / BUSY_BAND;
    }

    /** The cheapest trusted replica with room among those let in. */
    private Member spread(Op op, Group g, Predicate<Member> letIn) {
        Member best = null;
        double least = 0;
        for (Member m : g.members) {
            if (m != g.primary && isIn(m) && trusted(m) && heardLately(m) && knowsRepeat(op, m)
                    && hasRoom(m, 1) && letIn.test(m) && notTooBusy(m, REPLICA_BUSY) && coldAllows(m, op)) {
                double cost = cost(m, op);
                if (best == null || cost < least) {
                    best = m;
                    least = cost;
                }
            }
        }
        return best;
    }

    /** The filter: a replica answers only when its last known position fits; unknown is too stale. */
    private boolean admits(Member m, Op op) {
        return switch (op.type.needs()) {
            case UNBOUNDED -> true;
            case BOUNDED -> now - m.position <= op.type.stalenessBound();
            case SESSION -> m.position >= op.needPosition;
            default -> false;
        };
    }

    /** Where replicas check reads, one that lags a little may go first, until it turns one away. */
    private boolean lagsALittle(Member m, Op op) {
        return m.turnedAwayAt < m.positionToldAt && m != op.at && now - m.positionToldAt < LEVEL_HOLDS
                && m.positionToldAt - m.position <= op.type.stalenessBound();
    }

    private static boolean hasRoom(Member m, double share) {
        return m.out.size() < m.limit * share;
    }

    // Guards against reads longer than the tightest bound, which may stop a replica's apply: all gateways put
    // them on the same few replicas, so that the others stay fresh enough for bounded reads.
    private double cost(Member m, Op op) {
        double again = m == op.at ? AVOID_COST : 1;
        if (longRead(op)) {
            again *= Math.pow(AVOID_COST, rank(m));
        }
        double room = now - m.stretchAt < OWN_NEWS ? 1 : Math.max(0.1, 1 - m.busy);
        return again * stretchNow(m) * (m.out.size() + 1) / (room * warmth(m)) * (1 + 0.1 * chance.nextDouble());
    }

    private boolean longRead(Op op) {
        return op.type.needs() == Needs.UNBOUNDED && paceOf(op).usual > tightestBound;
    }

    /** Place among the group's replicas by id, which is the same at every gateway. */
    private long rank(Member m) {
        return m.group.members.stream().filter(o -> o != m.group.primary && isIn(o) && o.trust == Trust.WELL
                && o.id.text().compareTo(m.id.text()) < 0).count();
    }

    private static boolean isIn(Member m) {
        return m.stage == Listing.Stage.IN;
    }

    private boolean trusted(Member m) {
        return m.trust == Trust.WELL || m.trust == Trust.TRIAL && outSinceTrust(m).size() <= m.trialsPassed;
    }

    /** On trial only sends made since it began count; older ones may be stuck for as long as they like. */
    private static List<Op> outSinceTrust(Member m) {
        long since = m.trust == Trust.TRIAL ? m.trustSince : Telling.UNTOLD;
        return m.out.values().stream().filter(o -> o.sentAt >= since).toList();
    }

    // -- Cold servers

    private static final double COLD_SHARE = 0.5; // of the told multiple; the rest is for chance and repeats

    private double warmth(Member m) {
        double share = Math.max(0, (now - m.coldSince) / (double) Math.max(1, pledges.warmWithin()));
        return Math.min(1, pledges.startCapacity() + (1 - pledges.startCapacity()) * share);
    }

    // Guards against all gateways together pushing a cold server over: each sends it no more than its present
    // capacity's part of what it sends a warm peer, so the sum keeps the same part of what peers take. Parts of
    // an op add up as credit, from a start by chance, so that whole ops of many small gateways add up to no more.
    private boolean coldAllows(Member m, Op op) {
        double warmth = warmth(m);
        if (warmth >= 1) {
            return true;
        }
        double work = paceOf(op).usual;
        double peers = members.values().stream()
                .filter(p -> p != m && isIn(p) && p.trust == Trust.WELL && warmth(p) >= 1)
                .mapToDouble(this::sentWork).average().orElse(firstLimit * work);
        double allowed = COLD_SHARE * pledges.overloadMultiple() * warmth * peers;
        double windows = (now - Math.max(m.coldSince, m.coldCreditAt)) / (double) pledges.overloadWindow();
        if (m.coldCreditAt < m.coldSince) {
            m.coldCredit = chance.nextDouble() * work; // so that all gateways' first ops don't come at once
        }
        m.coldCredit = Math.min(m.coldCredit + allowed * windows, Math.max(work, allowed));
        m.coldCreditAt = now;
        return m.coldCredit >= work;
    }

    /** Work sent in about the last window of the cold rule. */
    private double sentWork(Member m) {
        m.sentWork *= Math.exp(-(now - m.sentWorkAt) / (double) Math.max(MS, pledges.overloadWindow()));
        m.sentWorkAt = now;
        return m.sentWork;
    }

    // -- Sends and their ends

    private static final double RESENDS_PER_OP = 0.25; // budget of further sends; a storm is several an op
    private static final double LOST_SHARE = 0.08; // of answers; long ops alone miss one in twenty
    private static final double LOST_WEIGHT = 0.05; // of the newest answer in that share
    private static final double LOST_PATIENCE = 3; // usual latencies, where answers get lost
    private static final double SAVED_MOST = 40; // in this and the like; what one server holds when it dies

    private void send(Op op, Member m) {
        long until = op.type.repeats() == Repeats.RETRYABLE ? worthUntil(op) : op.asked.timeoutAt();
        // Guards against servers whose answers get lost while they work: asks again while there is time for it.
        long early = now + (long) (LOST_PATIENCE * paceOf(op).usual * stretchNow(m));
        if (m.lostShare > LOST_SHARE && op.type.repeats() != Repeats.NON_RETRYABLE
                && worthUntil(op) - early > paceOf(op).usual * stretchNow(m)) {
            until = Math.min(until, early);
        }
        out.add(new Action.Send(op.asked.op(), m.id, Math.max(1, until - now)));
        op.sendOut = op.sends++;
        op.at = m;
        op.sentAt = now;
        op.calledOff = false;
        m.out.put(op.asked.op(), op);
        sentWork(m);
        m.sentWork += paceOf(op).usual;
        m.coldCredit -= paceOf(op).usual;
    }

    private void sendEnded(Happening.SendEnded e) {
        Member m = members.get(e.server());
        if (m == null) {
            return;
        }
        Op op = m.out.remove(e.op());
        learnRole(m, e.note(), now);
        learnReport(m, e.report());
        if (op != null) {
            learnHealth(m, op, e);
        }
        Op live = ops.get(e.op());
        boolean written = e.ending() == Ending.ACKED && op != null && op.type.needs() == Needs.WRITE;
        if (written && op.asked.session() != null) {
            boolean untold = e.note() == null || e.note().position() == Telling.UNTOLD;
            remember(op.asked.session(), untold ? now : e.note().position());
        }
        if (live != null && e.settled()) {
            ops.remove(e.op());
        } else if (live != null && live.sendOut == e.send()) {
            live.sendOut = -1;
            next(live, m, e.ending());
        }
        release(m.group);
        if (now < scarceUntil && m.out.isEmpty()) {
            out.add(new Action.CloseIdle(m.id));
        }
    }

    private void next(Op op, Member m, Ending ending) {
        if (!ending.provesNotRun && !op.mayHaveRun) {
            op.mayHaveRun = true;
            op.repeatUntil = op.type.repeats() == Repeats.TOKENED
                    ? op.sentAt + op.type.repeatWindow() - MARGIN : op.repeatUntil;
            op.firstMaybeServer = m;
        }
        boolean wrongRole = ending == Ending.TURNED_AWAY && op.type.needs() == Needs.WRITE;
        if (wrongRole || resendsLeft >= 1) {
            resendsLeft -= wrongRole ? 0 : 1;
            place(op);
        } else {
            finish(op); // guards against storms: repeats stay a small part of all sends
        }
    }

    private void finish(Op op) {
        ops.remove(op.asked.op());
        boolean harmless = !op.mayHaveRun || op.type.repeats() == Repeats.RETRYABLE
                || op.type.repeats() == Repeats.TOKENED && op.type.scope() == OpType.Scope.ALL;
        long back = Math.min((long) (COME_BACK * op.type.latencyTarget()), permits.longestComeBack());
        out.add(harmless ? new Action.BusyReply(op.asked.op(), permits.comeBackTimes() ? back : 0)
                : new Action.ErrorReply(op.asked.op()));
    }

    private void clientLeft(OpId id) {
        Op op = ops.remove(id);
        if (op != null) {
            groups.get(op.asked.group()).held.remove(op);
            callOff(op);
        }
    }

    private void callOff(Op op) {
        if (op.sendOut >= 0 && permits.callOff() && !op.calledOff) {
            op.calledOff = true;
            out.add(new Action.CallOff(op.asked.op(), op.sendOut));
        }
    }

    // -- Held ops

    /** Gives freed room to the ops with the most value per work, newest first. */
    private void release(Group g) {
        List<Op> order = new ArrayList<>(g.held);
        order.sort(Comparator.comparingDouble((Op o) -> -valuePerWork(o)).thenComparing(o -> -o.arrivedAt));
        boolean[] stuck = new boolean[opTypes.size()];
        for (Op op : order) {
            int type = op.asked.type().index();
            if (now >= holdUntil(op) || !stuck[type]) {
                stuck[type] |= !place(op);
            }
        }
    }

    private double valuePerWork(Op op) {
        return op.type.value() * (op.beyondShare ? beyondShareValue : 1) / paceOf(op).usual;
    }

    private Pace paceOf(Op op) {
        return paces.get(op.asked.type().index());
    }

    // -- Roles, positions, probes

    private static final double PROBE_SHARE_OF_BOUND = 1 / 3.0; // the design's starting value
    private static final long PROBE_EVERY_UNBOUND = 1000 * MS; // where no read has a bound; roles only
    private static final double PROBES_PER_OP = 0.2; // on the timer; more cost more than they bring
    private static final double FIRST_PROBES = 16; // of a new server, over all gateways; few fit at once
    private static final long HEARD_LASTS = 2000 * MS; // no op to a server not heard of for longer
    private static final long ASK_AGAIN = 150 * MS; // about how often reports are made anew
    private static final long SCARCE_LASTS = 10_000 * MS; // after the last failed connect that a probe outlived
    private static final long PATIENCE = 50 * MS; // what needs no work takes a few: probes, refused connects
    private static final long REPORT_AGE = 300 * MS; // reports may be this old when they come

    private void probe(Member m) {
        if (permits.probes() && !m.probeOut) {
            m.probeOut = true;
            m.probedAt = now;
            out.add(new Action.Probe(m.id));
        }
    }

    /** Heard of late; guards gateways with few ops against dead servers and against listed ones that are not. */
    private boolean heardLately(Member m) {
        return now - m.heardAt <= HEARD_LASTS;
    }

    // Guards against a price of probes that grows with the gateways: one with few ops asks a server only when an
    // op needs its word. True while such a word is awaited.
    private boolean ask(Group g, Predicate<Member> who) {
        boolean others = g.members.stream().anyMatch(Logic::promising);
        Member pick = null;
        double most = 0;
        for (Member m : g.members) {
            boolean wanted = isIn(m) && who.test(m) && (!others || promising(m));
            if (wanted && m.probeOut && now - m.probedAt < PATIENCE) {
                return true;
            }
            double luck = chance.nextDouble();
            boolean due = now - m.probedAt > ASK_AGAIN && (!others || now >= m.retryAt);
            if (wanted && !m.probeOut && due && luck >= most) {
                pick = m;
                most = luck;
            }
        }
        if (pick == null || !permits.probes()) {
            return false;
        }
        probesLeft = Math.max(0, probesLeft - 1);
        probe(pick);
        return true;
    }

    /** Guards against dead servers, few connections and slow handshakes alike; the next probe tells which. */
    private void notConnected(Member m, Op op, boolean atOnce) {
        m.connectFailedAt = now;
        m.refusesConnects = atOnce;
        if (m.answeredAt < op.sentAt) {
            m.heardAt = Math.min(m.heardAt, now - HEARD_LASTS - 1); // no op until the probe tells
            probe(m);
        }
    }

    // Guards against servers that live but take few connections: idle ones are given up, here and elsewhere, so
    // that other gateways find room; a handshake costs less than an op that finds none.
    private void connectionsScarce(Member m) {
        if (now > scarceUntil) {
            log("connections scarce: " + m.id.text() + " answers probes but takes no connection");
            members.values().stream().filter(o -> o.out.isEmpty()).forEach(o -> out.add(new Action.CloseIdle(o.id)));
        }
        scarceUntil = now + SCARCE_LASTS;
    }

    /** Heard before and not silent now: no op waits for the word of a server that may be none. */
    private static boolean promising(Member m) {
        return isIn(m) && m.heardAt != Telling.UNTOLD && m.trust != Trust.SILENT;
    }

    private void probeEnded(Happening.ProbeEnded e) {
        Member m = members.get(e.server());
        if (m == null) {
            return;
        }
        m.probeOut = false;
        if (e.ending() == Ending.ACKED || e.ending() == Ending.FULL) {
            m.deadSigns = 0;
            m.heardAt = now;
            if (m.refusesConnects && now - m.connectFailedAt < BRIEF) {
                connectionsScarce(m);
            }
            learnReport(m, e.report());
            if (m.trust == Trust.SILENT && now >= m.retryAt) {
                returns(m, false, "answers probes");
            }
        } else if (m.trust == Trust.SILENT) {
            m.penalty = m.heardAt == Telling.UNTOLD ? PENALTY_MOST : Math.min(PENALTY_MOST / 4, m.penalty * 2);
            m.retryAt = now + m.penalty;
        } else if (now - m.answeredAt > SILENCE_LEAST) {
            deadSign(m, "probes unanswered");
        }
        release(m.group);
    }

    /** Guards against old reports that revive a lost role: a primary's position tells when it said so. */
    private void learnReport(Member m, Telling t) {
        boolean dated = t != null && t.role() == Role.PRIMARY && t.position() != Telling.UNTOLD;
        learnRole(m, t, dated ? t.position() : now - REPORT_AGE);
    }

    /** Newest word wins; a position never goes back. */
    private void learnRole(Member m, Telling t, long toldAt) {
        if (t == null) {
            return;
        }
        m.busy = Double.isNaN(t.busy()) ? m.busy : t.busy();
        if (t.position() != Telling.UNTOLD) {
            m.position = Math.max(m.position, t.position() - MS); // a write's commit is rounded up
            m.positionToldAt = now;
        }
        if (t.role() == Role.UNKNOWN || toldAt < m.roleToldAt) {
            return;
        }
        m.role = t.role();
        m.roleToldAt = toldAt;
        Group g = m.group;
        Member was = g.primary;
        if (m.role == Role.PRIMARY && (was == null || was.role != Role.PRIMARY || was.roleToldAt < toldAt)) {
            g.primary = m;
        } else if (m.role != Role.PRIMARY && was == m) {
            g.primary = null;
        }
        if (g.primary != was) {
            String name = g.primary == null ? "unknown" : g.primary.id.text();
            log("group " + g.id.number() + " primary " + name);
        }
    }

    /** Looks round again soon, or later where nothing is out or held. */
    private void wakeIn(long time) {
        if (now + time < nextBeat) {
            nextBeat = now + time;
            out.add(new Action.Wake(nextBeat, 0));
        }
    }

    private void beat() {
        if (now < nextBeat) {
            return; // an earlier look round made this one needless
        }
        nextBeat = Long.MAX_VALUE;
        wakeIn(ops.isEmpty() ? IDLE_BEAT : BEAT);
        if (now >= askListAt) {
            out.add(new Action.FollowList());
            askListAt = Long.MAX_VALUE;
        }
        Member due = null;
        long oldest = now - probeEvery;
        for (Member m : members.values()) {
            if (m.trust != Trust.SILENT) {
                lookForSilence(m);
            }
            boolean inUse = isIn(m) && now - m.group.askedAt < probeEvery;
            if (inUse && !promising(m) && now >= m.retryAt) {
                probe(m);
            } else if (inUse && Math.max(m.probedAt, m.positionToldAt) <= oldest) {
                due = m;
                oldest = Math.max(m.probedAt, m.positionToldAt);
            }
        }
        if (due != null && probesLeft >= 1) {
            probesLeft--;
            probe(due);
        }
        groups.values().forEach(this::release);
    }

    // -- Health

    private static final int DEAD_SIGNS = 2; // lost connections or probes in a row; one may be chance
    private static final long SILENCE_LEAST = 400 * MS; // longer than short stalls
    private static final double ANSWERS_MISSED = 8; // by chance once in thousands of times
    private static final long PENALTY_FIRST = 300 * MS; // doubled at each failed trial
    private static final long PENALTY_MOST = 8000 * MS;
    private static final long BRIEF = 1500 * MS; // away for less is no restart
    private static final int TRIALS = 3; // good answers in a row before full trust
    private static final double FAIL_WEIGHT = 0.15; // of the newest result; three failures in a row count
    private static final double FAIL_SHARE = 0.35; // of failures, beyond which a server is left out
    private static final long USUAL_RISES_IN = 60_000 * MS; // slow, so that trouble does not become usual
    private static final double STRETCH_WEIGHT = 0.1; // of the newest latency; work varies as its mean
    private static final double LOST_BELOW = 1.5; // times usual that answers take; more is load, not loss
    private static final double STRETCH_MOST = 8; // one answer counts for no more
    private static final long STRETCH_FADES_IN = 5000 * MS; // then a slow server is tried again
    private static final double PRESSURE_WANTED = 0.35; // mean latency as part of the target; tails are long
    private static final double LIMIT_STEP = 0.2; // an answer; the limit moves by a fifth in a round trip

    private void learnHealth(Member m, Op op, Happening.SendEnded e) {
        Ending ending = e.ending();
        if (ending == Ending.NOT_CONNECTED) {
            notConnected(m, op, e.took() < PATIENCE);
        } else if (ending == Ending.BROKEN_OFF) {
            deadSign(m, "connections lost");
        } else if (ending != Ending.TIMED_OUT && ending != Ending.CALLED_OFF && ending != Ending.NEVER_SENT) {
            m.answeredAt = m.heardAt = now;
            m.deadSigns = 0;
            if (m.trust == Trust.SILENT && m.failShare < FAIL_SHARE) {
                returns(m, true, "answers");
            }
        }
        if (ending == Ending.NOT_CONNECTED || ending == Ending.FULL) {
            m.limit = Math.max(leastLimit, Math.min(m.limit, m.out.size())); // what is open already is kept
        }
        switch (ending) {
            case ACKED -> {
                m.missedInARow = 0;
                m.lostShare *= 1 - LOST_WEIGHT;
                m.ackedStretch += STRETCH_WEIGHT * (e.took() / paceOf(op).usual - m.ackedStretch);
                learnPace(m, op, e.took());
                m.failShare *= 1 - FAIL_WEIGHT;
                if (m.trust == Trust.TRIAL && ++m.trialsPassed >= TRIALS) {
                    trust(m, Trust.WELL, "trials passed " + m.trialsPassed);
                }
            }
            case ERRORED, BROKEN_OFF, NOT_CONNECTED -> {
                m.failShare += FAIL_WEIGHT * (1 - m.failShare);
                failing(m);
            }
            case TIMED_OUT -> {
                // Guards against lost answers taken for slow ones: where the others come in time, one or two in a row
                // count little more than those.
                boolean lost = ++m.missedInARow <= 2 && m.ackedStretch < LOST_BELOW;
                m.lostShare += lost ? LOST_WEIGHT * (1 - m.lostShare) : 0;
                double like = paceOf(op).usual * m.stretch;
                learnPace(m, op, (long) (lost ? Math.min(e.took(), LOST_BELOW * like) : Math.max(e.took(), like)));
            }
            case TURNED_AWAY -> {
                m.turnedAwayAt = now;
                if (op.type.needs() == Needs.WRITE) {
                    learnRole(m, new Telling(Role.REPLICA, Telling.UNTOLD), now);
                }
            }
            default -> { }
        }
    }

    /** Latency as a multiple of the op type's usual, and as a part of its target, which moves the limit. */
    private void learnPace(Member m, Op op, long took) {
        Pace p = paceOf(op);
        p.recent += Math.max(1.0 / ++p.samples, 0.02) * (took - p.recent);
        double slow = Math.min(1, (now - p.at) / (double) USUAL_RISES_IN);
        p.usual += (p.recent < p.usual || p.samples < 20 ? 0.1 : slow) * (p.recent - p.usual);
        p.at = now;

        double stretch = Math.min(STRETCH_MOST, took / p.usual);
        m.stretch = stretchNow(m) + STRETCH_WEIGHT * (stretch - stretchNow(m));
        double slowly = Math.min(1, (now - m.stretchAt) / (double) USUAL_RISES_IN);
        m.usualStretch += (m.stretch < m.usualStretch ? 0.05 : slowly) * (m.stretch - m.usualStretch);
        m.stretchAt = now;

        double part = took / (double) Math.max(1, op.targetAt - op.arrivedAt);
        m.pressure += STRETCH_WEIGHT * (Math.min(3, part) - m.pressure);
        if (m.pressure > PRESSURE_WANTED) {
            m.limit = Math.max(leastLimit, m.limit - LIMIT_STEP);
        } else if (m.out.size() + 1 >= m.limit * 0.7 && now - m.connectFailedAt > HEARD_LASTS) {
            m.limit += LIMIT_STEP;
        }
    }

    /** Old news of slowness fades, so that a server which has recovered is tried again. */
    private double stretchNow(Member m) {
        double fade = Math.exp(-(now - m.stretchAt) / (double) STRETCH_FADES_IN);
        return m.usualStretch + (m.stretch - m.usualStretch) * fade;
    }

    /** Guards against dead, hung and cut-off servers alike: far fewer answers than the sends should bring. */
    private void lookForSilence(Member m) {
        List<Op> waiting = outSinceTrust(m);
        long quiet = now - Math.max(m.answeredAt, waiting.isEmpty() ? now : waiting.get(0).sentAt);
        double missing = 0;
        for (Op op : waiting) {
            missing += Math.min(quiet, now - op.sentAt) / (paceOf(op).usual * Math.max(1, m.stretch));
        }
        if (quiet >= SILENCE_LEAST && missing > ANSWERS_MISSED) {
            silent(m, "quiet " + quiet / MS + " ms with " + m.out.size() + " out");
        }
    }

    private void deadSign(Member m, String what) {
        if (++m.deadSigns >= DEAD_SIGNS || m.heardAt == Telling.UNTOLD) {
            silent(m, what + " " + m.deadSigns);
        }
    }

    private void silent(Member m, String why) {
        if (m.trust != Trust.SILENT) {
            trust(m, Trust.SILENT, why);
            m.out.values().stream().filter(o -> o.type.repeats() == Repeats.RETRYABLE).forEach(this::callOff);
        }
    }

    private void returns(Member m, boolean byAnswer, String why) {
        long away = now - m.trustSince;
        // Guards against restarts not yet listed (long away is cold) and hangs (a probe brings but a trial).
        m.coldSince = away < BRIEF ? m.coldSince : now;
        trust(m, byAnswer && away < BRIEF ? Trust.WELL : Trust.TRIAL, why + " after " + away / MS + " ms");
    }

    /** Guards against servers that fail fast and so draw traffic; never leaves the group with too few. */
    private void failing(Member m) {
        long well = m.group.members.stream().filter(o -> o != m && isIn(o) && o.trust == Trust.WELL).count();
        if (m.failShare >= FAIL_SHARE && m != m.group.primary && well * 2 >= m.group.members.size()) {
            silent(m, "fails " + Math.round(m.failShare * 100) + " %");
        }
    }

    private void trust(Member m, Trust to, String why) {
        log("server " + m.id.text() + " " + m.trust + " to " + to + ": " + why);
        if (to == Trust.SILENT) {
            m.penalty = m.heardAt == Telling.UNTOLD ? PENALTY_MOST
                    : m.trust == Trust.TRIAL ? Math.min(PENALTY_MOST, m.penalty * 2) : PENALTY_FIRST;
            m.retryAt = now + m.penalty;
        }
        m.trust = to;
        m.trustSince = now;
        m.trialsPassed = 0;
        m.failShare = to == Trust.TRIAL ? Math.min(m.failShare, FAIL_SHARE / 2) : m.failShare;
    }

    private void log(String text) {
        out.add(new Action.LogLine(text));
    }
}
