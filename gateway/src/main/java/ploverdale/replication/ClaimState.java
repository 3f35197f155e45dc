package ploverdale.replication;

/**
 * What is known of one claim to execute a write, as a set of bits to which bits are only added. Bits that this
 * version does not know are kept and replicated, so that gateways of different versions can run side by side.
 * Immutable.
 *
 * @param bits as encoded in messages between gateways
 */
public record ClaimState(int bits) {
    private static final int CLAIMED_BIT = 1;
    private static final int NEVER_RAN_BIT = 2;
    private static final int SUCCEEDED_BIT = 4;
    private static final int PROOF_BITS = NEVER_RAN_BIT | SUCCEEDED_BIT;

    /** The claim was made: its gateway may have executed the write, or may still do so. */
    public static final ClaimState CLAIMED = new ClaimState(CLAIMED_BIT);
    /** Proven: the gateway never executed the write under this claim and never will. */
    public static final ClaimState NEVER_RAN = new ClaimState(NEVER_RAN_BIT);
    /** Proven: the write was executed under this claim. */
    public static final ClaimState SUCCEEDED = new ClaimState(SUCCEEDED_BIT);

    /** Returns the union of what is known by this state and the other. */
    ClaimState merge(ClaimState other) {
        return new ClaimState(bits | other.bits);
    }

    /** Whether there is a proof that the write was never executed under this claim. */
    boolean hasNeverRun() {
        return (bits & NEVER_RAN_BIT) != 0;
    }

    /** Whether there is a proof that the write was executed under this claim. */
    boolean hasSucceeded() {
        return (bits & SUCCEEDED_BIT) != 0;
    }

    /** Whether nothing is proven: the write may have been executed, or may still be. */
    boolean isInDoubt() {
        return (bits & PROOF_BITS) == 0;
    }

    /** Whether it is proven that the write was never executed, and no proof contradicts that. */
    boolean isProvenNotToRun() {
        return (bits & PROOF_BITS) == NEVER_RAN_BIT;
    }

    /** Whether the write is proven both to have been executed and never to have been executed. */
    boolean isContradictory() {
        return (bits & PROOF_BITS) == PROOF_BITS;
    }

    /** The text is part of the log line of an alarm; its spelling is fixed. */
    @Override
    public String toString() {
        return Integer.toString(bits);
    }
}
