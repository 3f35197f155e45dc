package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import ploverdale.membership.Packet.Part;
import ploverdale.membership.PacketQueue;

/**
 * The distributed quota protocol at one gateway: leases (Gray and Cheriton, 1989) on units of rate and concurrency
 * limits. Of each limit, a gateway owns its guaranteed units permanently. The rest of its entitlement is its lease
 * partition, which it may use while a majority of the partition's acceptors has granted it the lease ({@link
 * LeaseHolder}, {@link LeaseAcceptor}). While a gateway is absent, another one takes over its partition, after every
 * earlier use or sub-lease of the partition's units has ended. A gateway that needs more units than it holds borrows
 * some from lease holders ({@link UnitBorrower}, {@link UnitLender}).
 *
 * <p>Invariant: the units that all gateways may use at the same time never exceed the capacity, even if messages are
 * lost and processes fail, as long as clocks drift by no more than {@link LeaseDurations#clockDrift}.
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe: called only on the thread of the
 * event loop.
 */
public final class QuotaProtocol {
    /**
     * The part of its entitlement that this gateway may use.
     *
     * <table>
     * <caption>Transitions</caption>
     * <tr><th>from</th><th>on</th><th>to</th></tr>
     * <tr><td>GUARANTEED_ONLY</td><td>its own lease partition becomes {@link LeasePartition.State#SERVING}</td>
     *     <td>FULL_ENTITLEMENT</td></tr>
     * <tr><td>FULL_ENTITLEMENT</td><td>the lease of its own partition has expired</td><td>GUARANTEED_ONLY</td></tr>
     * </table>
     */
    public enum Mode {
        /** The gateway may use its guaranteed units and borrowed ones. */
        GUARANTEED_ONLY,
        /** The gateway may also use the units of its own lease partition. */
        FULL_ENTITLEMENT
    }

    /**
     * A change of the mode.
     *
     * @param mode the mode after the change
     * @param takenOverPartitions number of other gateways' partitions whose lease this gateway holds or requests
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
    /** When every unit that an earlier process of this gateway had acquired is out of use. */
    private final long previousProcessUseEndsAt;

    private long epoch;
    private int lastRequestNumber;
    private Mode mode = Mode.GUARANTEED_ONLY;
    private Optional<ModeChange> modeChange = Optional.empty();

    /**
     * Creates the protocol state of a gateway process that starts now; at first it holds guaranteed units of rates
     * only.
     *
     * @param self number of this gateway
     * @param epoch identifies this process among the successive processes of this gateway; acceptors and lenders
     *     compare it
     * @param random chooses the lenders that requests are sent to
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
        previousProcessUseEndsAt = now + durations.grantorTerm(allocation.maxHoldTime());
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
        for (int limit = 0; limit < ledger.limitCount(); limit++) {
            if (allocation.limits().get(limit).kind() == kind) {
                int units = allocation.guaranteedUnits(self, limit);
                ledger.of(limit).setUnits(now, UnitSource.Guaranteed.INSTANCE, units, Long.MAX_VALUE);
            }
        }
    }

    /**
     * Brings the held units up to date. Guaranteed units of concurrency limits are added only after every unit that an
     * earlier process of this gateway had acquired is out of use. Borrowed units expire without an update.
     */
    private void updateLedger(long now) {
        if (now >= previousProcessUseEndsAt) {
            holdGuaranteedUnits(now, SharedLimit.Kind.CONCURRENCY);
        }
        leaseHolder.updateLedger(now);
    }

    /**
     * Acquires a unit of a limit. A unit of concurrency must be given back by {@link #release}.
     *
     * @param limit index of the limit
     * @return false where no unit is free now
     */
    public boolean tryAcquire(long now, int limit) {
        updateLedger(now);
        return ledger.of(limit).tryAcquire(now);
    }

    /**
     * Returns whether a unit of a concurrency limit could be acquired now; for a rate limit, only whether any units
     * are held. If not, the call counts as demand.
     */
    public boolean canUse(long now, int limit) {
        updateLedger(now);
        return ledger.of(limit).canUse(now);
    }

    /** Releases a unit of a concurrency limit. */
    public void release(int limit) {
        ledger.of(limit).release();
    }

    /** Returns after how long a rejected client should retry, in tenths of a millisecond. */
    public long retryAfter(long now, int limit) {
        return ledger.of(limit).retryAfter(now);
    }

    /** Returns the units of a limit that this gateway may use now, including those in use. */
    public int heldUnits(long now, int limit) {
        updateLedger(now);
        return ledger.of(limit).units(now);
    }

    /**
     * Does the periodic work: renews leases and sub-leases, borrows and returns units, and updates the mode.
     *
     * @param alive whether this gateway considers another one alive; a hint that safety does not depend on
     * @param out receives the messages to send
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

    /** Returns the latest change of the mode since the previous call, if any. */
    public Optional<ModeChange> pollModeChange() {
        Optional<ModeChange> latest = modeChange;
        modeChange = Optional.empty();
        return latest;
    }

    /**
     * Sets the epoch of this gateway. It changes when this process learns that an earlier process of the same gateway
     * used a later epoch.
     */
    public void setEpoch(long epoch) {
        this.epoch = epoch;
    }

    /**
     * Handles a message from another gateway with the same allocation. Messages of other protocols are ignored.
     *
     * @param senderEpoch identifies the sender's process among its successive processes
     * @param out receives the replies
     */
    public void onMessage(long now, int sender, long senderEpoch, Part message, PacketQueue out) {
        updateLedger(now);
        MessageContext context = new MessageContext(now, new Peer(sender, senderEpoch), out);
        QuotaMessageCodec.decode(message).ifPresent(decoded -> decoded.dispatchTo(messageHandler, context));
        updateLedger(now);
    }

    /**
     * Passes each message to the object that handles it. Replies meant for an earlier process of this gateway are
     * dropped.
     */
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

    /** Returns the current statistics of each limit, in the order of the limits. */
    public List<LimitStatistics> statistics(long now) {
        updateLedger(now);
        List<LimitStatistics> statisticsByLimit = new ArrayList<>();
        for (int limit = 0; limit < ledger.limitCount(); limit++) {
            HeldUnits units = ledger.of(limit);
            statisticsByLimit.add(new LimitStatistics(
                    units.name(),
                    units.units(now),
                    borrower.borrowedUnits(now, limit),
                    leaseHolder.outstandingUnits(now, limit),
                    units.demand(now),
                    units.inUse(),
                    units.rejected()));
        }
        return statisticsByLimit;
    }
}
