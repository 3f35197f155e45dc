package ploverdale.quota;

/**
 * The leases that this gateway has granted as an acceptor. As an acceptor of Paxos (PaxosLease, without a stored state), it
 * grants a partition to one holder at a time; a majority of acceptors that grant is a lease. A later epoch of the same gateway
 * is another holder. Grants are kept in memory only, so an acceptor that has just started abstains until every lease that it
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
