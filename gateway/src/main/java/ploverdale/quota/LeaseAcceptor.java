package ploverdale.quota;

/**
 * The grants of partition leases by this gateway as an acceptor. An acceptor grants a partition to one holder at a
 * time, and a holder has the lease while a majority of acceptors grants it. These are majority leases without
 * persistent state, as in PaxosLease (Trencseni, Gazso and Reinhardt, 2012), but in a single phase: a round that does
 * not reach a majority is repeated. A process with a later epoch of the same gateway counts as a different holder.
 * Because grants are kept in memory only, an acceptor that has just started grants nothing until every lease that it
 * may have granted before the start has expired.
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock. Not thread-safe: called only on the thread of {@link
 * QuotaProtocol}.
 */
final class LeaseAcceptor {
    /** The latest grant of a partition's lease. */
    private record Grant(Peer holder, long expiresAt) {}

    private final LeaseDurations durations;
    private final long abstainsUntil;
    private final Grant[] grants; // by partition; null where nothing was granted yet

    LeaseAcceptor(int partitions, LeaseDurations durations, long now) {
        this.durations = durations;
        abstainsUntil = now + durations.partitionGrantorTerm();
        grants = new Grant[partitions];
    }

    /** Grants or renews the lease of a partition; returns false where the acceptor refuses. */
    boolean tryGrant(long now, int partition, Peer holder) {
        if (now < abstainsUntil || isGrantedToOther(now, grants[partition], holder)) {
            return false;
        }
        grants[partition] = new Grant(holder, now + durations.partitionGrantorTerm());
        return true;
    }

    private static boolean isGrantedToOther(long now, Grant grant, Peer holder) {
        return grant != null && !grant.holder.equals(holder) && now < grant.expiresAt;
    }
}
