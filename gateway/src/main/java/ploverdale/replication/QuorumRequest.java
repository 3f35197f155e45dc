package ploverdale.replication;

/**
 * One request to all replicas of a key, and which of them have answered. It is sent again with exponential backoff to
 * those that have not. Times in tenths of a millisecond of a monotonic clock. Not thread-safe, used on the thread of
 * {@link Replicas}.
 */
final class QuorumRequest {
    private static final long MS = 10;
    private static final long FIRST_RETRY_AFTER = 15 * MS;

    /** What is asked of the replicas, with the kinds of its messages. */
    enum Kind {
        /** To hold a fact. */
        COPY(ReplicaMessages.COPY_REQUEST, ReplicaMessages.COPY_ANSWER),
        /** To tell how far a session's reads must reach. */
        ASK(ReplicaMessages.POSITION_REQUEST, ReplicaMessages.POSITION_ANSWER),
        /** To let this gateway send a write. */
        CLAIM(ReplicaMessages.CLAIM_REQUEST, ReplicaMessages.CLAIM_ANSWER);

        final int requestKind;
        final int answerKind;

        Kind(int requestKind, int answerKind) {
            this.requestKind = requestKind;
            this.answerKind = answerKind;
        }
    }

    final long ticket;
    final Kind kind;
    final long key;
    /** Whether somebody is to be notified of its end. */
    final boolean waits;
    /** For a copy or a claim; else null. */
    VersionedEntry fact;
    /** For a claim; else null. */
    IdempotencyRecord claim;
    /** For a claim: whether it is known to be of a first submission. */
    boolean first;
    /** Whether the one who waits has been notified. */
    boolean ended;
    /** The latest position answered, a Unix time in tenths of a millisecond. */
    long position = Long.MIN_VALUE / 2;
    /** The server that position is of, or -1. */
    int server = ReplicaMessages.NO_SERVER;

    private final ReplicaPlacement placement;
    private final long replicas; // see Keepers.of
    private final long deadline;
    private long retryAt;
    private long retryAfter = FIRST_RETRY_AFTER;
    private int answered; // one bit for each place among the replicas
    private int grants;

    QuorumRequest(long ticket, Kind kind, long key, ReplicaPlacement placement, long deadline, boolean waits) {
        this.ticket = ticket;
        this.kind = kind;
        this.key = key;
        this.placement = placement;
        this.deadline = deadline;
        this.waits = waits;
        replicas = placement.of(key);
    }

    /** The replicas of its key, see {@link ReplicaPlacement#of}. */
    long replicas() {
        return replicas;
    }

    /** The gateway that is the replica of that place. */
    int gateway(int place) {
        return ReplicaPlacement.one(replicas, place);
    }

    /** That gateway's place among the replicas; -1 where it is none. */
    int placeOf(int gateway) {
        for (int place = 0; place < placement.copies(); place++) {
            if (gateway(place) == gateway) {
                return place;
            }
        }
        return -1;
    }

    boolean isAnsweredBy(int place) {
        return (answered >> place & 1) != 0;
    }

    void markAnswered(int place) {
        answered |= 1 << place;
    }

    boolean isAnsweredByMajority() {
        return Integer.bitCount(answered) >= placement.majority();
    }

    boolean isAnsweredByAll() {
        return Integer.bitCount(answered) == placement.copies();
    }

    void countGrant() {
        grants++;
    }

    boolean isGrantedByAny() {
        return grants > 0;
    }

    boolean isGrantedByMajority() {
        return grants >= placement.majority();
    }

    /** Whether a majority grants it if all do that have not answered. */
    boolean mayBeGrantedByMajority() {
        int unanswered = placement.copies() - Integer.bitCount(answered);
        return grants + unanswered >= placement.majority();
    }

    boolean isExpired(long now) {
        return now >= deadline;
    }

    /** It is sent for the first time. */
    void sent(long now) {
        retryAt = now + retryAfter;
    }

    /** A copy is sent until all have it, others until they have ended. */
    boolean isRetryDue(long now) {
        return now >= retryAt && !(ended && kind != Kind.COPY);
    }

    void retried(long now) {
        retryAfter *= 2;
        retryAt = now + retryAfter;
    }

    /** Appends all that tells two states apart, for an explorer. */
    void describe(StringBuilder to) {
        to.append(' ').append(kind).append(answered).append(grants).append(ended);
    }
}
