package ploverdale.quota;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.function.IntSupplier;
import ploverdale.membership.PacketQueue;

/**
 * The partitions that this gateway holds or asks for: its own, and those of absent gateways whose successor it is
 * ({@link RendezvousHash}). A lease is renewed several times in its term. Free units of a partition that serves are entered
 * in the unit ledger until the lease expires.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock. Not thread-safe, called on the thread of {@link QuotaProtocol}.
 */
final class LeaseHolder {
    private static final int ROUNDS_PER_TERM = 4; // so that lost messages do not end the lease

    private final int self;
    private final QuotaAllocation allocation;
    private final LeaseDurations durations;
    private final UnitLedger ledger;
    private final LeaseAcceptor localAcceptor;
    private final IntSupplier requestNumbers;
    private final long startedAt;
    private final Map<Integer, LeasePartition> partitions = new TreeMap<>();

    /**
     * @param self number of this gateway
     * @param localAcceptor this gateway's own, which is asked without a message
     * @param requestNumbers never yields the same number twice
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
        LeasePartition own = newPartition(self);
        partitions.put(self, own);
        if (!hasOtherAcceptors()) {
            own.holdForever(now);
        }
    }

    private LeasePartition newPartition(int gateway) {
        return new LeasePartition(gateway, durations, allocation.longestUse());
    }

    private boolean hasOtherAcceptors() {
        return allocation.acceptorCount() > 1;
    }

    /** In the order of their numbers; this gateway's own is always among them. */
    Collection<LeasePartition> partitions() {
        return partitions.values();
    }

    /** Whether the units of this gateway's own partition may be used and sub-leased. */
    boolean isServingOwnPartition(long now) {
        return partitions.get(self).isServing(now);
    }

    /** How many partitions of other gateways are held here or asked for. */
    int takenOverPartitions() {
        return partitions.size() - 1;
    }

    /** Enters the free units of each partition, and until when they may be used, in the ledger. */
    void updateLedger(long now) {
        for (LeasePartition partition : partitions.values()) {
            boolean serving = partition.isServing(now);
            long until = serving ? partition.expiresAt() : now;
            for (int limit = 0; limit < ledger.size(); limit++) {
                int units = serving ? freeUnits(now, partition, limit) : 0;
                ledger.of(limit).set(now, partition, units, until);
            }
        }
    }

    /** Units of a partition that are neither sub-leased nor possibly in use for a former sub-lease. */
    int freeUnits(long now, LeasePartition partition, int limit) {
        int leased = allocation.leasedUnits(partition.number(), limit);
        return Math.max(0, leased - partition.outstandingUnits(now, limit));
    }

    /**
     * Takes over, drops and renews leases as they are due.
     *
     * @param epoch this gateway's own
     * @param alive whether a gateway is alive as far as this one knows; a hint: safety does not depend on it
     */
    void onTick(long now, long epoch, IntPredicate alive, PacketQueue out) {
        if (hasOtherAcceptors()) {
            takeOver(now, alive);
        }
        partitions.values().removeIf(partition -> clearIfUnwanted(now, partition, alive));
        for (LeasePartition partition : partitions.values()) {
            if (hasOtherAcceptors()
                    && isWanted(partition.number(), alive)
                    && partition.isRoundOlderThan(now, durations.partitionLease() / ROUNDS_PER_TERM)) {
                requestLease(now, epoch, partition, out);
            }
        }
    }

    /** Not before any lease has expired that an earlier process of this gateway may have had. */
    private void takeOver(long now, IntPredicate alive) {
        for (int gateway = 0; gateway < allocation.gateways(); gateway++) {
            if (!partitions.containsKey(gateway)
                    && isWanted(gateway, alive)
                    && now - startedAt > durations.partitionGrantorTerm()) {
                partitions.put(gateway, newPartition(gateway));
            }
        }
    }

    /** Clears the units of a partition that is neither wanted nor leased; true where it can be forgotten. */
    private boolean clearIfUnwanted(long now, LeasePartition partition, IntPredicate alive) {
        boolean unwanted =
                !isWanted(partition.number(), alive) && partition.state(now) == LeasePartition.State.UNLEASED;
        if (unwanted) {
            ledger.remove(now, partition);
        }
        return unwanted;
    }

    private boolean isWanted(int partition, IntPredicate alive) {
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
        for (int place = 0; place < allocation.acceptorCount(); place++) {
            int acceptor = allocation.acceptor(partition.number(), place);
            if (acceptor != self) {
                out.add(acceptor, QuotaMessageCodec.encode(request));
            } else if (localAcceptor.tryGrant(now, partition.number(), new Peer(self, epoch))) {
                partition.onGrant(now, round, place, allocation.majority());
            }
        }
    }

    /** An acceptor has granted a lease to this process. */
    void onLeaseGrant(long now, int acceptor, QuotaMessage.LeaseGrant grant) {
        LeasePartition partition = partitions.get(grant.partition());
        if (partition != null && allocation.isAcceptor(acceptor, grant.partition())) {
            int place = allocation.acceptorPlace(acceptor, grant.partition());
            partition.onGrant(now, grant.round(), place, allocation.majority());
        }
    }

    /** Units of a limit, of all partitions, that are sub-leased or may be in use for a former sub-lease. */
    int outstandingUnits(long now, int limit) {
        return partitions.values().stream()
                .mapToInt(partition -> partition.outstandingUnits(now, limit))
                .sum();
    }
}
