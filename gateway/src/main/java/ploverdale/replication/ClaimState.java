package ploverdale.replication;

/**
 * What is known of one claim to execute a write, as a set of bits that only grows. Bits that this version does not know
 * are kept and replicated, so that versions can run side by side. Immutable.
 *
 * @param bits as in messages between gateways
 */
public record ClaimState(int bits) {
    private static final int CLAIMED_BIT = 1;
    private static final int NEVER_RAN_BIT = 2;
    private static final int SUCCEEDED_BIT = 4;
    private static final int PROOF_BITS = NEVER_RAN_BIT | SUCCEEDED_BIT;

    /** The claim was made: its gateway may execute the write from now on. */
    public static final ClaimState CLAIMED = new ClaimState(CLAIMED_BIT);
    /** Proven: the gateway never executed the write under this claim and never will. */
    public static final ClaimState NEVER_RAN = new ClaimState(NEVER_RAN_BIT);
    /** Proven: the write was executed under this claim. */
    public static final ClaimState SUCCEEDED = new ClaimState(SUCCEEDED_BIT);

    /** What is known by either. */
    ClaimState merge(ClaimState other) {
        return new ClaimState(bits | other.bits);
    }

    /** Whether one proof is that the write was never executed. */
    boolean hasNeverRun() {
        return (bits & NEVER_RAN_BIT) != 0;
    }

    /** Whether one proof is that the write was executed. */
    boolean hasSucceeded() {
        return (bits & SUCCEEDED_BIT) != 0;
    }

    /** Whether nothing is proven, so that the write may have been executed or may still be. */
    boolean isInDoubt() {
        return (bits & PROOF_BITS) == 0;
    }

    /** Whether the only proof is that the write was never executed. */
    boolean isProvenNotToRun() {
        return (bits & PROOF_BITS) == NEVER_RAN_BIT;
    }

    /** Whether two proofs contradict each other. */
    boolean isContradictory() {
        return (bits & PROOF_BITS) == PROOF_BITS;
    }

    /** As it stands in the log line of an alarm, whose spelling is fixed. */
    @Override
    public String toString() {
        return Integer.toString(bits);
    }
}
