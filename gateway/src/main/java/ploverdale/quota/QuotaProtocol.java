package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import ploverdale.membership.Packet.Part;
import ploverdale.membership.PacketQueue;

/**
 * The distributed quota protocol at one gateway: leases (Gray and Cheriton, 1989) over units of rate and concurrency limits.
 * Of each limit a gateway owns guaranteed units outright. The rest of its entitlement is its lease partition, which it holds
 * while a majority of the partition's acceptors grants so ({@link LeaseHolder}, {@link LeaseAcceptor}); while it is absent,
 * another gateway takes the partition over, once all that may have been sub-leased or used of it has ended. A gateway that
 * needs more than it holds borrows units of lease holders ({@link UnitBorrower}, {@link UnitLender}).
 *
 * <p>Invariant: the units that all gateways may use never exceed the capacity, whatever happens to messages and processes, as
 * long as clocks drift no more than {@link LeaseDurations#clockDrift}.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock. Not thread-safe: one thread, that of the event loop, calls it.
 */
public final class QuotaProtocol {
    /**
     * Which part of its entitlement this gateway may use.
     *
     * <table>
     * <caption>Transitions</caption>
     * <tr><th>from</th><th>on</th><th>to</th></tr>
     * <tr><td>GUARANTEED_ONLY</td><td>its own lease partition is {@link LeasePartition.State#SERVING}</td>
     *     <td>FULL_ENTITLEMENT</td></tr>
     * <tr><td>FULL_ENTITLEMENT</td><td>the lease of its own partition has expired</td><td>GUARANTEED_ONLY</td></tr>
     * </table>
     */
    public enum Mode {
        /** Only its guaranteed units, and those that it borrows. */
        GUARANTEED_ONLY,
        /** Its own lease partition, too. */
        FULL_ENTITLEMENT
    }

    /**
     * The mode has changed.
     *
     * @param takenOverPartitions of other gateways that this one holds or asks for
     */
    public record ModeChange(Mode mode, int takenOverPartitions) {}

    private final int self;
    private final QuotaAllocation allocation;
    private final UnitLedger ledger;
    private final LeaseAcceptor acceptor;
    private final LeaseHolder leaseHolder;
    private final UnitLender lender;
    private final UnitBorrower borrower;
    private final QuotaMessageHandler messageHandler = new MessageHandler();
    private final long earlierUseEndsAt; // when all that an earlier process of this gateway acquired is out of use
    private long epoch;
    private int lastRequestNumber;
    private Mode mode = Mode.GUARANTEED_ONLY;
    private Optional<ModeChange> modeChange = Optional.empty();

    /**
     * @param self number of this gateway
     * @param epoch which start of this gateway it is, by which acceptors and lenders tell it from earlier ones
     * @param random chooses lenders
     */
    public QuotaProtocol(
            int self,
            long epoch,
            QuotaAllocation allocation,
            LeaseDurations durations,
            RandomGenerator random,
            long now) {
        this.self = self;
        this.epoch = epoch;
        this.allocation = allocation;
        earlierUseEndsAt = now + durations.grantorTerm(allocation.longestUse());
        ledger = new UnitLedger(allocation.limits(), now);
        acceptor = new LeaseAcceptor(allocation.gateways(), durations, now);
        leaseHolder = new LeaseHolder(self, allocation, durations, ledger, acceptor, this::nextRequestNumber, now);
        lender = new UnitLender(leaseHolder, ledger);
        borrower = new UnitBorrower(self, allocation, durations, random, ledger, this::nextRequestNumber);
        holdGuaranteedUnits(now, SharedLimit.Kind.RATE);
    }

    private int nextRequestNumber() {
        return ++lastRequestNumber;
    }

    private void holdGuaranteedUnits(long now, SharedLimit.Kind kind) {
        for (int limit = 0; limit < ledger.size(); limit++) {
            if (allocation.limits().get(limit).kind() == kind) {
                int units = allocation.guaranteedUnits(self, limit);
                ledger.of(limit).set(now, UnitSource.Guaranteed.INSTANCE, units, Long.MAX_VALUE);
            }
        }
    }

    /**
     * Brings the held units up to date. Guaranteed units of concurrency are held only once all that an earlier process of
     * this gateway has acquired is out of use. Borrowed units expire by themselves.
     */
    private void updateLedger(long now) {
        if (now >= earlierUseEndsAt) {
            holdGuaranteedUnits(now, SharedLimit.Kind.CONCURRENCY);
        }
        leaseHolder.updateLedger(now);
    }

    /**
     * Acquires a unit of a limit; false where none is free now.
     *
     * @param limit its index; a unit of concurrency has to be given back by {@link #release}
     */
    public boolean tryAcquire(long now, int limit) {
        updateLedger(now);
        return ledger.of(limit).tryAcquire(now);
    }

    /** Whether a unit of concurrency could be acquired now; counts as demand where it could not. */
    public boolean canUse(long now, int limit) {
        updateLedger(now);
        return ledger.of(limit).canUse(now);
    }

    /** Releases a unit of concurrency. */
    public void release(int limit) {
        ledger.of(limit).release();
    }

    /** After how long a rejected client should retry. */
    public long retryAfter(long now, int limit) {
        return ledger.of(limit).retryAfter(now);
    }

    /** Units that this gateway may use now, those in use included. */
    public int heldUnits(long now, int limit) {
        updateLedger(now);
        return ledger.of(limit).units(now);
    }

    /**
     * Does the periodic work: leases, sub-leases and the mode.
     *
     * @param alive whether a gateway is alive as far as this one knows; a hint that safety does not depend on
     * @param out takes the messages
     */
    public void onTick(long now, IntPredicate alive, PacketQueue out) {
        updateLedger(now);
        leaseHolder.onTick(now, epoch, alive, out);
        borrower.onTick(now, alive, out);
        updateMode(now);
    }

    private void updateMode(long now) {
        Mode current = leaseHolder.isServingOwnPartition(now) ? Mode.FULL_ENTITLEMENT : Mode.GUARANTEED_ONLY;
        if (current != mode) {
            mode = current;
            modeChange = Optional.of(new ModeChange(current, leaseHolder.takenOverPartitions()));
        }
    }

    /** The latest change of the mode since the last call. */
    public Optional<ModeChange> pollModeChange() {
        Optional<ModeChange> latest = modeChange;
        modeChange = Optional.empty();
        return latest;
    }

    /** Sets the epoch of this gateway; it changes where an earlier process is found to have used a later one. */
    public void setEpoch(long epoch) {
        this.epoch = epoch;
    }

    /**
     * Handles a message of another gateway with the same allocation; ignores what is not a quota message.
     *
     * @param senderEpoch which start of the sender it is of
     * @param out takes the answers
     */
    public void onMessage(long now, int sender, long senderEpoch, Part message, PacketQueue out) {
        updateLedger(now);
        MessageContext context = new MessageContext(now, new Peer(sender, senderEpoch), out);
        QuotaMessageCodec.decode(message).ifPresent(decoded -> decoded.dispatchTo(messageHandler, context));
        updateLedger(now);
    }

    /** Hands each message to the role that it is for. Answers to an earlier process of this gateway are dropped. */
    private final class MessageHandler implements QuotaMessageHandler {
        @Override
        public void onLeaseRequest(MessageContext context, QuotaMessage.LeaseRequest message) {
            int partition = message.partition();
            if (partition >= allocation.gateways() || !allocation.isAcceptor(self, partition)) {
                return;
            }
            if (acceptor.tryGrant(context.now(), partition, context.sender())) {
                long holderEpoch = context.sender().epoch();
                context.reply(
                        QuotaMessageCodec.encode(new QuotaMessage.LeaseGrant(partition, message.round(), holderEpoch)));
            }
        }

        @Override
        public void onLeaseGrant(MessageContext context, QuotaMessage.LeaseGrant message) {
            if (message.holderEpoch() == epoch) {
                leaseHolder.onLeaseGrant(context.now(), context.sender().gateway(), message);
            }
        }

        @Override
        public void onUnitRequest(MessageContext context, QuotaMessage.UnitRequest message) {
            lender.onRequest(context, message);
        }

        @Override
        public void onUnitGrant(MessageContext context, QuotaMessage.UnitGrant message) {
            if (message.borrowerEpoch() == epoch) {
                borrower.onGrant(context.now(), context.sender().gateway(), message);
            }
        }

        @Override
        public void onUnitReturn(MessageContext context, QuotaMessage.UnitReturn message) {
            lender.onReturn(context, message);
        }
    }

    /** What this gateway has of each limit now, in the order of the limits. */
    public List<LimitStatistics> statistics(long now) {
        updateLedger(now);
        List<LimitStatistics> all = new ArrayList<>();
        for (int limit = 0; limit < ledger.size(); limit++) {
            HeldUnits units = ledger.of(limit);
            all.add(new LimitStatistics(
                    units.name(),
                    units.units(now),
                    borrower.borrowedUnits(now, limit),
                    leaseHolder.outstandingUnits(now, limit),
                    units.demand(now),
                    units.inUse(),
                    units.rejected()));
        }
        return all;
    }
}
