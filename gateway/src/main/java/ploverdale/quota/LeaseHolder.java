package ploverdale.quota;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.function.IntSupplier;
import ploverdale.membership.PacketQueue;

/**
 * The lease partitions that this gateway holds or asks for: its own, and those of absent gateways whose successor it
 * is. A partition is held while a majority of its acceptors promises so; the lease is renewed several times in the
 * time that a promise lasts. What is free of a held partition is entered in the held units of each budget, until the
 * lease's end.
 *
 * <p>Times in tenths of a millisecond of a monotonic clock. Not thread-safe, called on the thread of {@link QuotaProtocol}.
 */
final class LeaseHolder {
    private static final int RENEWALS =
            4; // in the time that a promise lasts, so that lost messages do not end the lease

    private final int me;
    private final QuotaAllocation division;
    private final LeaseDurations leaseDurations;
    private final long longestUse;
    private final HeldUnits[] held;
    private final LeaseAcceptor acceptor;
    private final IntSupplier nextNumber;
    private final long startedAt;
    private final Map<Integer, LeasePartition> partitions = new TreeMap<>();

    /**
     * @param longestUse how long a unit may stay in use once it was taken
     * @param held by budget, shared with {@link QuotaProtocol}
     * @param acceptor this gateway's own, which answers without a message
     * @param nextNumber numbers of requests, never the same twice
     */
    LeaseHolder(
            int me,
            QuotaAllocation division,
            LeaseDurations leaseDurations,
            long longestUse,
            HeldUnits[] held,
            LeaseAcceptor acceptor,
            IntSupplier nextNumber,
            long now) {
        this.me = me;
        this.division = division;
        this.leaseDurations = leaseDurations;
        this.longestUse = longestUse;
        this.held = held;
        this.acceptor = acceptor;
        this.nextNumber = nextNumber;
        startedAt = now;
        LeasePartition own = new LeasePartition(me, leaseDurations, longestUse);
        partitions.put(me, own);
        if (!hasOtherAcceptors()) {
            own.owned(now);
        }
    }

    private boolean hasOtherAcceptors() {
        return division.acceptorCount() > 1;
    }

    /** In the order of their numbers; this gateway's own is always among them. */
    Collection<LeasePartition> partitions() {
        return partitions.values();
    }

    /** Whether the units of this gateway's own partition may be used and lent. */
    boolean servesOwnPartition(long now) {
        return partitions.get(me).serves(now);
    }

    /** Partitions of other gateways that are held here or asked for. */
    int takenOver() {
        return partitions.size() - 1;
    }

    /** Enters what is free of each partition, and until when, in the held units. */
    void updateHeldUnits(long now) {
        for (LeasePartition partition : partitions.values()) {
            boolean serves = partition.serves(now);
            long until = serves ? partition.promisedUntil() : now;
            for (int budget = 0; budget < held.length; budget++) {
                held[budget].holds(now, partition, serves ? free(now, partition, budget) : 0, until);
            }
        }
    }

    private int free(long now, LeasePartition partition, int budget) {
        return Math.max(0, division.leasedUnits(partition.number, budget) - partition.out(now, budget));
    }

    /**
     * Takes over, drops and renews leases as they are due.
     *
     * @param start which start of its name this gateway speaks as
     * @param present whether a gateway is alive as far as this one knows
     */
    void onTick(long now, long start, IntPredicate present, PacketQueue out) {
        if (hasOtherAcceptors()) {
            takeOver(now, present);
        }
        partitions.values().removeIf(partition -> dropIfUnwanted(now, partition, present));
        for (LeasePartition partition : partitions.values()) {
            if (hasOtherAcceptors()
                    && isWanted(partition.number, present)
                    && now - partition.askedAt() >= leaseDurations.partitionLease() / RENEWALS) {
                renew(now, start, partition, out);
            }
        }
    }

    /** Not before any lease has ended that an earlier start of this gateway may have had. */
    private void takeOver(long now, IntPredicate present) {
        for (int gateway = 0; gateway < division.gateways(); gateway++) {
            if (!partitions.containsKey(gateway)
                    && isWanted(gateway, present)
                    && now - startedAt > leaseDurations.grantorTerm(leaseDurations.partitionLease())) {
                partitions.put(gateway, new LeasePartition(gateway, leaseDurations, longestUse));
            }
        }
    }

    /**
     * Clears what is held of a partition that is neither wanted nor leased any more; true where it is to be
     * forgotten.
     */
    private boolean dropIfUnwanted(long now, LeasePartition partition, IntPredicate present) {
        boolean dropped = !isWanted(partition.number, present) && !partition.isMine(now);
        if (dropped) {
            for (HeldUnits units : held) {
                units.holds(now, partition, 0, now);
            }
        }
        return dropped;
    }

    private boolean isWanted(int partition, IntPredicate present) {
        return partition == me || !present.test(partition) && successor(partition, present) == me;
    }

    /** The present gateway that comes first in a pseudo-random order of its own for each partition. */
    private int successor(int partition, IntPredicate present) {
        int best = -1;
        long least = Long.MAX_VALUE;
        for (int gateway = 0; gateway < division.gateways(); gateway++) {
            long rank = (partition * 0x9E3779B97F4A7C15L ^ gateway * 0xC2B2AE3D27D4EB4FL) * 0x165667B19E3779F9L >>> 1;
            if (gateway != partition && (gateway == me || present.test(gateway)) && rank < least) {
                least = rank;
                best = gateway;
            }
        }
        return best;
    }

    private void renew(long now, long start, LeasePartition partition, PacketQueue out) {
        int round = partition.asks(now, nextNumber.getAsInt());
        for (int place = 0; place < division.acceptorCount(); place++) {
            int gateway = division.acceptor(partition.number, place);
            if (gateway != me) {
                out.add(gateway, QuotaMessageCodec.leaseRequest(partition.number, round));
            } else if (acceptor.asked(now, partition.number, me, start)) {
                partition.promised(now, round, place, division.majority());
            }
        }
    }

    /** An acceptor has promised a partition to this gateway, in answer to that round. */
    void onPromise(long now, int from, int number, int round) {
        LeasePartition partition = partitions.get(number);
        if (partition == null) {
            return;
        }
        int place = Math.floorMod(from - number, division.gateways());
        if (place < division.acceptorCount()) {
            partition.promised(now, round, place, division.majority());
        }
    }

    /** Units of a budget that are lent, or may still be in use for a loan that has ended. */
    int lent(long now, int budget) {
        int units = 0;
        for (LeasePartition partition : partitions.values()) {
            units += partition.out(now, budget);
        }
        return units;
    }
}
