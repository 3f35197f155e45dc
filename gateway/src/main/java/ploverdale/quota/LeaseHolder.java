package ploverdale.quota;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.function.IntSupplier;
import ploverdale.membership.PacketQueue;

/**
 * The partitions whose lease this gateway holds or requests: its own, and those of absent gateways whose successor it
 * is ({@link RendezvousHash}). A lease is renewed several times within its term. The free units of a serving partition
 * are entered in the unit ledger until the lease expires.
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe: called only on the thread of {@link
 * QuotaProtocol}.
 */
final class LeaseHolder {
    private static final int ROUNDS_PER_TERM = 4; // so that the lease outlasts some rounds with lost messages

    private final int self;
    private final QuotaAllocation allocation;
    private final LeaseDurations durations;
    private final UnitLedger ledger;
    private final LeaseAcceptor localAcceptor;
    private final IntSupplier requestNumbers;
    private final long startedAt;
    private final Map<Integer, LeasePartition> partitions = new TreeMap<>();

    /**
     * Creates the holder with this gateway's own partition.
     *
     * @param self number of this gateway
     * @param localAcceptor the acceptor of this gateway, which is called without a message
     * @param requestNumbers supplies numbers that are never repeated
     */
    LeaseHolder(
            int self,
            QuotaAllocation allocation,
            LeaseDurations durations,
            UnitLedger ledger,
            LeaseAcceptor localAcceptor,
            IntSupplier requestNumbers,
            long now) {
        this.self = self;
        this.allocation = allocation;
        this.durations = durations;
        this.ledger = ledger;
        this.localAcceptor = localAcceptor;
        this.requestNumbers = requestNumbers;
        startedAt = now;
        LeasePartition ownPartition = newPartition(self);
        partitions.put(self, ownPartition);
        if (!hasOtherAcceptors()) {
            ownPartition.holdForever(now);
        }
    }

    private LeasePartition newPartition(int gateway) {
        return new LeasePartition(gateway, durations, allocation.maxHoldTime());
    }

    private boolean hasOtherAcceptors() {
        return allocation.acceptorCount() > 1;
    }

    /** Returns the partitions in the order of their numbers. This gateway's own is always among them. */
    Collection<LeasePartition> partitions() {
        return partitions.values();
    }

    /** Returns whether the units of this gateway's own partition may be used and sub-leased. */
    boolean isServingOwnPartition(long now) {
        return partitions.get(self).isServing(now);
    }

    /** Returns the number of other gateways' partitions whose lease this gateway holds or requests. */
    int takenOverPartitions() {
        return partitions.size() - 1;
    }

    /** Enters the free units of each partition, with the time when they expire, in the ledger. */
    void updateLedger(long now) {
        for (LeasePartition partition : partitions.values()) {
            boolean serving = partition.isServing(now);
            long until = serving ? partition.expiresAt() : now;
            for (int limit = 0; limit < ledger.limitCount(); limit++) {
                int units = serving ? freeUnits(now, partition, limit) : 0;
                ledger.of(limit).setUnits(now, partition, units, until);
            }
        }
    }

    /**
     * Returns the units of a partition that are neither sub-leased nor possibly still in use under an expired or
     * reduced sub-lease.
     */
    int freeUnits(long now, LeasePartition partition, int limit) {
        int leasedUnits = allocation.leasedUnits(partition.number(), limit);
        return Math.max(0, leasedUnits - partition.outstandingUnits(now, limit));
    }

    /**
     * Takes over partitions of absent gateways, drops those no longer needed, and renews leases that are due.
     *
     * @param epoch epoch of this gateway
     * @param alive whether this gateway considers another one alive; a hint that safety does not depend on
     * @param out receives the messages to send
     */
    void onTick(long now, long epoch, IntPredicate alive, PacketQueue out) {
        if (hasOtherAcceptors()) {
            takeOver(now, alive);
        }
        partitions.values().removeIf(partition -> clearIfNotNeeded(now, partition, alive));
        for (LeasePartition partition : partitions.values()) {
            if (hasOtherAcceptors()
                    && shouldHold(partition.number(), alive)
                    && partition.isRoundOlderThan(now, durations.partitionLease() / ROUNDS_PER_TERM)) {
                requestLease(now, epoch, partition, out);
            }
        }
    }

    /**
     * Adds the partitions of absent gateways whose successor this gateway is, but only after every lease that an
     * earlier process of this gateway may have held has expired.
     */
    private void takeOver(long now, IntPredicate alive) {
        for (int gateway = 0; gateway < allocation.gateways(); gateway++) {
            if (!partitions.containsKey(gateway)
                    && shouldHold(gateway, alive)
                    && now - startedAt > durations.partitionGrantorTerm()) {
                partitions.put(gateway, newPartition(gateway));
            }
        }
    }

    /**
     * Removes the units of a partition from the ledger where this gateway should not hold the partition and has no
     * lease of it.
     *
     * @return whether the partition can be dropped
     */
    private boolean clearIfNotNeeded(long now, LeasePartition partition, IntPredicate alive) {
        boolean notNeeded =
                !shouldHold(partition.number(), alive) && partition.state(now) == LeasePartition.State.UNLEASED;
        if (notNeeded) {
            ledger.removeSource(now, partition);
        }
        return notNeeded;
    }

    /**
     * Returns whether this gateway should hold a partition: its own, or that of an absent gateway whose successor it
     * is.
     */
    private boolean shouldHold(int partition, IntPredicate alive) {
        return partition == self || !alive.test(partition) && isSuccessor(partition, alive);
    }

    private boolean isSuccessor(int partition, IntPredicate alive) {
        IntPredicate eligible = gateway -> gateway == self || alive.test(gateway);
        return RendezvousHash.successor(partition, allocation.gateways(), eligible)
                        .orElse(partition)
                == self;
    }

    private void requestLease(long now, long epoch, LeasePartition partition, PacketQueue out) {
        int round = requestNumbers.getAsInt();
        partition.startRound(now, round);
        QuotaMessage.LeaseRequest request = new QuotaMessage.LeaseRequest(partition.number(), round);
        for (int acceptorIndex = 0; acceptorIndex < allocation.acceptorCount(); acceptorIndex++) {
            int acceptor = allocation.acceptor(partition.number(), acceptorIndex);
            if (acceptor != self) {
                out.add(acceptor, QuotaMessageCodec.encode(request));
            } else if (localAcceptor.tryGrant(now, partition.number(), new Peer(self, epoch))) {
                partition.onGrant(now, round, acceptorIndex, allocation.majority());
            }
        }
    }

    /** Called when an acceptor has granted a lease to this process. */
    void onLeaseGrant(long now, int acceptor, QuotaMessage.LeaseGrant grant) {
        LeasePartition partition = partitions.get(grant.partition());
        if (partition != null && allocation.isAcceptor(acceptor, grant.partition())) {
            int acceptorIndex = allocation.acceptorIndex(acceptor, grant.partition());
            partition.onGrant(now, grant.round(), acceptorIndex, allocation.majority());
        }
    }

    /**
     * Returns the units of a limit, over all partitions, that are sub-leased or possibly still in use under an expired
     * or reduced sub-lease.
     */
    int outstandingUnits(long now, int limit) {
        return partitions.values().stream()
                .mapToInt(partition -> partition.outstandingUnits(now, limit))
                .sum();
    }
}
