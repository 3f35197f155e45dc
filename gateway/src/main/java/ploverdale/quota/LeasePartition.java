package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;

/**
 * One estate as its steward has it: until when it is promised, and what of it is lent to whom until when. Parts are free
 * when they are neither lent nor may still be in use by one to whom they were lent; none is free before all that an earlier
 * steward may have lent is over. Times in tenths of a millisecond.
 */
final class LeasePartition {
    /** Parts that are out. */
    static final class SubLease {
        final int to;
        final long itsStart;
        final int number;
        final int[] parts;
        long endsAt;

        private SubLease(int to, long itsStart, int number, int[] parts, long endsAt) {
            this.to = to;
            this.itsStart = itsStart;
            this.number = number;
            this.parts = parts;
            this.endsAt = endsAt;
        }
    }

    final int number;
    private final LeaseDurations leaseDurations;
    private final long longestUse;
    private final List<SubLease> loans = new ArrayList<>();
    private long promisedUntil = Long.MIN_VALUE;
    private long servesFrom = Long.MIN_VALUE;
    private int round;
    private long roundAt = Long.MIN_VALUE / 2;
    private long promises; // of this round, a bit a keeper

    /** @param longestUse for how long a part may stay in use once it was taken */
    LeasePartition(int number, LeaseDurations leaseDurations, long longestUse) {
        this.number = number;
        this.leaseDurations = leaseDurations;
        this.longestUse = longestUse;
    }

    /** It is its steward's for good, where there are no keepers to ask; what an earlier start lent is over after a time. */
    void owned(long now) {
        promisedUntil = Long.MAX_VALUE;
        servesFrom = now + rest();
    }

    private long rest() {
        return leaseDurations.grantorTerm(leaseDurations.subLease()) + leaseDurations.grantorTerm(longestUse);
    }

    /** Begins another round of asking the keepers; its number goes with the question. */
    int asks(long now, int nextRound) {
        round = nextRound;
        roundAt = now;
        promises = 0;
        return round;
    }

    long askedAt() {
        return roundAt;
    }

    /** A keeper has promised in that round; counts from when the round was begun. */
    void promised(long now, int ofRound, int acceptor, int majority) {
        if (ofRound != round) {
            return; // an answer to an earlier question counts for nothing
        }
        promises |= 1L << acceptor;
        if (Long.bitCount(promises) >= majority && roundAt + leaseDurations.partitionLease() > now) {
            if (now >= promisedUntil) {
                servesFrom = now + rest(); // another may have been steward in between
            }
            promisedUntil = Math.max(promisedUntil, roundAt + leaseDurations.partitionLease());
        }
    }

    /** Whether this gateway is its steward. */
    boolean isMine(long now) {
        return now < promisedUntil;
    }

    /** Whether its parts may be used and lent here. */
    boolean serves(long now) {
        return now < promisedUntil && now >= servesFrom;
    }

    /** Until when it is promised. */
    long promisedUntil() {
        return promisedUntil;
    }

    /** Of one budget, parts that are lent or may still be in use for a loan that has ended. */
    int out(long now, int budget) {
        int n = 0;
        for (SubLease l : loans) {
            n += now < l.endsAt ? l.parts[budget] : 0;
        }
        return n;
    }

    /** Lends parts that are free; the loan lasts from now. */
    SubLease lend(long now, int to, long itsStart, int loanNumber, int[] parts) {
        loans.removeIf(l -> now >= l.endsAt);
        SubLease l = new SubLease(to, itsStart, loanNumber, parts, now + rest());
        loans.add(l);
        return l;
    }

    /** The loan of that number to that gateway, if it is out. */
    SubLease loan(long now, int to, long itsStart, int loanNumber) {
        for (SubLease l : loans) {
            if (l.to == to && l.itsStart == itsStart && l.number == loanNumber && now < l.endsAt) {
                return l;
            }
        }
        return null;
    }

    /** It lasts from now again, with fewer parts perhaps; those it loses stay out until their old end. */
    void extend(long now, SubLease l, int[] keeps) {
        int[] loses = new int[keeps.length];
        boolean any = false;
        for (int b = 0; b < keeps.length; b++) {
            loses[b] = l.parts[b] - keeps[b];
            any |= loses[b] > 0;
            l.parts[b] = keeps[b];
        }
        if (any) {
            loans.add(new SubLease(l.to, l.itsStart, 0, loses, l.endsAt));
        }
        l.endsAt = now + rest();
    }

    /** The borrower says that it spends no more than this of a loan, and that nothing above it is in use. */
    void back(SubLease l, int budget, int keeps) {
        l.parts[budget] = Math.min(l.parts[budget], keeps);
    }

    /** All that tells two states apart, for an explorer. */
    String told(long now) {
        StringBuilder b = new StringBuilder(
                "e" + number + " " + Math.max(0, promisedUntil == Long.MAX_VALUE ? -1 : promisedUntil - now) + " "
                        + Math.max(0, servesFrom - now) + " " + round + " " + promises + " "
                        + Math.max(0, roundAt + leaseDurations.partitionLease() - now));
        for (SubLease l : loans) {
            if (now < l.endsAt) {
                b.append(" l")
                        .append(l.to)
                        .append('.')
                        .append(l.itsStart)
                        .append('.')
                        .append(l.number)
                        .append(java.util.Arrays.toString(l.parts))
                        .append(l.endsAt - now);
            }
        }
        return b.toString();
    }
}
