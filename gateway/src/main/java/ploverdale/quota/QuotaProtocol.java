package ploverdale.quota;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import ploverdale.membership.Packet.Part;
import ploverdale.membership.PacketQueue;

/**
 * The fleet's quota as one gateway has it. Of each budget it owns guaranteed units outright. The rest of its
 * entitlement is its lease partition, which it holds while a majority of the partition's acceptors promises so
 * ({@link LeaseHolder}); when it is gone, another takes the partition over, once all that may have been lent or used
 * of it has ended. Who needs more than it holds borrows of lease holders ({@link UnitBorrower}, {@link UnitLender}).
 * Messages may be lost, doubled, late or reordered.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock. Not thread-safe: one thread, that of the event loop,
 * calls it.
 */
public final class QuotaProtocol {
    /** Whether this gateway may use no more than its guaranteed units, or its own lease partition too. */
    public enum Mode {
        GUARANTEED_ONLY,
        FULL_ENTITLEMENT
    }

    /** Figures of one budget here, for a line of the log. */
    public record Figures(
            String name,
            int held,
            int floor,
            int lent,
            int borrowed,
            int inUse,
            int wanted,
            long spent,
            long refused) {}

    public static final int STEWARDS = QuotaMessageCodec.LEASE_REQUEST;
    public static final int PROMISES = QuotaMessageCodec.LEASE_PROMISE;
    public static final int WANTS = QuotaMessageCodec.UNIT_REQUEST;
    public static final int LENDS = QuotaMessageCodec.UNIT_GRANT;
    public static final int BACK = QuotaMessageCodec.UNIT_RETURN;

    private static final String GUARANTEED = "floor";

    private final int me;
    private final QuotaAllocation division;
    private final LeaseDurations leaseDurations;
    private final int budgets;
    private final long longestUse;
    private final HeldUnits[] held;
    private final LeaseAcceptor acceptor;
    private final LeaseHolder leaseHolder;
    private final UnitLender lender;
    private final UnitBorrower borrower;
    private final long startedAt;
    private long start;
    private int lastNumber;
    private Mode mode = Mode.GUARANTEED_ONLY;
    private String line;

    /**
     * @param me this gateway's number
     * @param start which start of its name this is, by which acceptors and lenders tell it from earlier ones
     * @param random chooses lenders
     */
    public QuotaProtocol(
            int me,
            long start,
            QuotaAllocation division,
            LeaseDurations leaseDurations,
            RandomGenerator random,
            long now) {
        this.me = me;
        this.start = start;
        this.division = division;
        this.leaseDurations = leaseDurations;
        budgets = division.limits().size();
        longestUse = longestUse(division);
        startedAt = now;
        held = new HeldUnits[budgets];
        for (int budget = 0; budget < budgets; budget++) {
            held[budget] = new HeldUnits(division.limits().get(budget), now);
        }
        acceptor = new LeaseAcceptor(division.gateways(), leaseDurations, now);
        leaseHolder = new LeaseHolder(me, division, leaseDurations, longestUse, held, acceptor, this::nextNumber, now);
        UnitLedger demand = new UnitLedger(held);
        lender = new UnitLender(division, leaseHolder, demand);
        borrower = new UnitBorrower(me, division, leaseDurations, random, held, demand, this::nextNumber);
        holdGuaranteedUnits(now, SharedLimit.Kind.RATE);
    }

    private static long longestUse(QuotaAllocation division) {
        return division.limits().stream()
                .filter(budget -> budget.kind() == SharedLimit.Kind.CONCURRENCY)
                .mapToLong(SharedLimit::maxHoldTime)
                .max()
                .orElse(0);
    }

    private int nextNumber() {
        return ++lastNumber;
    }

    private void holdGuaranteedUnits(long now, SharedLimit.Kind kind) {
        for (int budget = 0; budget < budgets; budget++) {
            if (division.limits().get(budget).kind() == kind) {
                held[budget].holds(now, GUARANTEED, division.guaranteedUnits(me, budget), Long.MAX_VALUE);
            }
        }
    }

    public QuotaAllocation division() {
        return division;
    }

    /** Takes a unit of a budget; false where none is free now. For one in use, {@link #release} follows. */
    public boolean tryAcquire(long now, int budget) {
        updateHeldUnits(now);
        return held[budget].spend(now);
    }

    /** Whether a unit in use could be taken now; counts as demand where it could not. */
    public boolean canUse(long now, int budget) {
        updateHeldUnits(now);
        return held[budget].has(now);
    }

    /** A unit in use is released. */
    public void release(int budget) {
        held[budget].ended();
    }

    /** After how long a rejected client should retry. */
    public long retryAfter(long now, int budget) {
        return held[budget].retryAfter(now);
    }

    /** Units that this gateway holds now, those in use included. */
    public int heldUnits(long now, int budget) {
        updateHeldUnits(now);
        return held[budget].parts(now);
    }

    /**
     * Brings the held units up to date. Guaranteed units in use are held only once all that an earlier start under
     * the same name has taken has ended. Loans end by themselves.
     */
    private void updateHeldUnits(long now) {
        if (now - startedAt >= leaseDurations.grantorTerm(longestUse)) {
            holdGuaranteedUnits(now, SharedLimit.Kind.CONCURRENCY);
        }
        leaseHolder.updateHeldUnits(now);
    }

    /**
     * Does the periodic work.
     *
     * @param present whether a gateway is alive as far as this one knows
     */
    public void onTick(long now, IntPredicate present, PacketQueue out) {
        updateHeldUnits(now);
        leaseHolder.onTick(now, start, present, out);
        borrower.onTick(now, present, out);
        updateMode(now);
    }

    private void updateMode(long now) {
        Mode current = leaseHolder.servesOwnPartition(now) ? Mode.FULL_ENTITLEMENT : Mode.GUARANTEED_ONLY;
        if (current != mode) {
            mode = current;
            int others = leaseHolder.takenOver();
            line = "budgets: "
                    + (current == Mode.FULL_ENTITLEMENT ? "has its whole share of " : "falls to its floor of ")
                    + budgets + " budgets" + (others > 0 ? ", and stands in for " + others : "");
        }
    }

    /** A line for the log, once, or null. */
    public String line() {
        String last = line;
        line = null;
        return last;
    }

    public Mode mode() {
        return mode;
    }

    /** Which start of its name this gateway speaks as from now on, see {@code Membership.start}. */
    public void setEpoch(long start) {
        this.start = start;
    }

    /** Handles a message of another gateway of the same division; ignores kinds that are not of this class. */
    public void onMessage(long now, int from, long itsStart, Part part, PacketQueue out) {
        updateHeldUnits(now);
        ByteBuffer content = ByteBuffer.wrap(part.content());
        switch (part.kind()) {
            case STEWARDS -> onLeaseRequest(now, from, itsStart, content, out);
            case PROMISES -> onLeasePromise(now, from, content);
            case WANTS -> onUnitRequest(now, from, itsStart, content, out);
            case LENDS -> onUnitGrant(now, from, content);
            case BACK -> onUnitReturn(now, from, itsStart, content);
            default -> {}
        }
        updateHeldUnits(now);
    }

    private void onLeaseRequest(long now, int from, long itsStart, ByteBuffer content, PacketQueue out) {
        if (content.remaining() < QuotaMessageCodec.LEASE_REQUEST_BYTES) {
            return;
        }
        int partition = content.getShort() & 0xFFFF;
        int round = content.getInt();
        if (partition < division.gateways()
                && division.isAcceptor(me, partition)
                && acceptor.asked(now, partition, from, itsStart)) {
            out.add(from, QuotaMessageCodec.leasePromise(partition, round, itsStart));
        }
    }

    private void onLeasePromise(long now, int from, ByteBuffer content) {
        if (content.remaining() < QuotaMessageCodec.LEASE_PROMISE_BYTES) {
            return;
        }
        int partition = content.getShort() & 0xFFFF;
        int round = content.getInt();
        if (content.getLong() == start) { // else it is for an earlier start of this gateway
            leaseHolder.onPromise(now, from, partition, round);
        }
    }

    private void onUnitRequest(long now, int from, long itsStart, ByteBuffer content, PacketQueue out) {
        if (content.remaining() < QuotaMessageCodec.UNIT_REQUEST_HEAD_BYTES) {
            return;
        }
        int request = content.getInt();
        int extendedLoan = content.getInt();
        int[] wanted = QuotaMessageCodec.readUnits(content, budgets);
        if (extendedLoan == 0) {
            lender.lend(now, from, itsStart, request, wanted, out);
        } else {
            lender.extend(now, from, itsStart, request, extendedLoan, wanted, out);
        }
    }

    private void onUnitGrant(long now, int from, ByteBuffer content) {
        if (content.remaining() < QuotaMessageCodec.UNIT_GRANT_HEAD_BYTES || content.getLong() != start) {
            return; // too short, or for an earlier start of this gateway
        }
        int request = content.getInt();
        int loan = content.getInt();
        borrower.onGrant(now, from, request, loan, QuotaMessageCodec.readUnits(content, budgets));
    }

    private void onUnitReturn(long now, int from, long itsStart, ByteBuffer content) {
        int loan = content.remaining() >= QuotaMessageCodec.UNIT_RETURN_HEAD_BYTES ? content.getInt() : 0;
        lender.onReturn(now, from, itsStart, loan, QuotaMessageCodec.readUnits(content, budgets));
    }

    /** What of each budget is here now. */
    public List<Figures> figures(long now) {
        updateHeldUnits(now);
        List<Figures> all = new ArrayList<>();
        for (int budget = 0; budget < budgets; budget++) {
            HeldUnits units = held[budget];
            all.add(new Figures(
                    division.limits().get(budget).name(),
                    units.parts(now),
                    division.guaranteedUnits(me, budget),
                    leaseHolder.lent(now, budget),
                    borrower.borrowed(now, budget),
                    units.inUse(),
                    units.wanted(now),
                    units.spent(),
                    units.refused()));
        }
        return all;
    }

    /** All that tells two states apart, for an explorer. */
    String told(long now) {
        updateHeldUnits(now);
        StringBuilder text = new StringBuilder().append(acceptor.told(now));
        leaseHolder.partitions().forEach(partition -> text.append(" | ").append(partition.told(now)));
        for (HeldUnits units : held) {
            text.append(" | ").append(units.told(now));
        }
        borrower.describe(now, text);
        return text.toString();
    }
}
