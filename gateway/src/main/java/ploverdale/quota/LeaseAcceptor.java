package ploverdale.quota;

import java.util.Arrays;

/**
 * The promises of one gateway as a keeper of estates: while one is made, no other gateway is promised the same estate, nor
 * a later start of the same one. A gateway that has just started may have forgotten promises and makes none until each of
 * them is over.
 */
final class LeaseAcceptor {
    private final LeaseDurations leaseDurations;
    private final long abstainsUntil;
    private final int[] to;
    private final long[] start;
    private final long[] until;

    LeaseAcceptor(int partitions, LeaseDurations leaseDurations, long now) {
        this.leaseDurations = leaseDurations;
        abstainsUntil = now + leaseDurations.grantorTerm(leaseDurations.partitionLease());
        to = new int[partitions];
        Arrays.fill(to, -1);
        start = new long[partitions];
        until = new long[partitions];
    }

    /** Somebody asks to be or to stay the steward of an estate; whether it is promised. */
    boolean asked(long now, int partition, int who, long whoseStart) {
        boolean same = to[partition] == who && start[partition] == whoseStart;
        if (now < abstainsUntil || !same && now < until[partition]) {
            return false;
        }
        to[partition] = who;
        start[partition] = whoseStart;
        until[partition] = now + leaseDurations.grantorTerm(leaseDurations.partitionLease());
        return true;
    }

    /** All that tells two keepers apart, for an explorer of states. */
    String told(long now) {
        StringBuilder b = new StringBuilder().append(Math.max(0, abstainsUntil - now));
        for (int e = 0; e < to.length; e++) {
            b.append(until[e] > now ? " " + to[e] + ":" + start[e] + ":" + (until[e] - now) : " -");
        }
        return b.toString();
    }
}
