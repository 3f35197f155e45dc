package ploverdale.quota;

/**
 * The leases that this gateway has granted as an acceptor. It grants a partition to one holder at a time; a majority of
 * acceptors that grant is a lease. These are majority leases without stored state, as in PaxosLease (Trencseni, Gazso and
 * Reinhardt, 2012), but in a single phase: a round that finds no majority is repeated. A later epoch of the same gateway is
 * another holder. Since grants are kept in memory only, an acceptor that has just started abstains until every lease that it
 * may have granted before has expired.
 *
 * <p>Times are tenths of a millisecond of a monotonic clock. Not thread-safe, called on the thread of {@link QuotaProtocol}.
 */
final class LeaseAcceptor {
    /** The latest grant of a partition's lease. */
    private record Grant(Peer holder, long expiresAt) {}

    private final LeaseDurations durations;
    private final long abstainsUntil;
    private final Grant[] grants; // by partition; null where none was granted yet

    LeaseAcceptor(int partitions, LeaseDurations durations, long now) {
        this.durations = durations;
        abstainsUntil = now + durations.partitionGrantorTerm();
        grants = new Grant[partitions];
    }

    /** Grants or renews the lease of a partition; false where it is refused. */
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
