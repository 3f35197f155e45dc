package ploverdale.replication;

/**
 * The kinds of {@link ReplicationMessage} with their codes in packets, see {@link ploverdale.membership.Packet.Part}.
 */
enum ReplicationMessageKind {
    WRITE_REQUEST(32),
    WRITE_RESPONSE(33),
    POSITION_REQUEST(34),
    POSITION_RESPONSE(35),
    CLAIM_REQUEST(36),
    CLAIM_RESPONSE(37),
    DIGEST_REQUEST(38),
    DIGEST_RESPONSE(39),
    ENTRIES_REQUEST(40),
    ENTRIES_RESPONSE(41);

    private static final ReplicationMessageKind[] ALL = values();

    private final int code;

    ReplicationMessageKind(int code) {
        this.code = code;
    }

    /** Returns the code that identifies the kind in packets. */
    int code() {
        return code;
    }

    /** Returns the kind with a code, or null if the code is not that of a replication message. */
    static ReplicationMessageKind of(int code) {
        int index = code - ALL[0].code;
        return index >= 0 && index < ALL.length ? ALL[index] : null;
    }
}
