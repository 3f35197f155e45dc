package ploverdale.gossip;

/** Why a datagram of a peer is not read. */
public enum RejectionReason {
    /** Longer than any datagram of any version. */
    TOO_LONG("TOO_LONG"),
    /** Shorter than the header and the checksum. */
    TOO_SHORT("TOO_SHORT"),
    /** Not of this protocol. */
    WRONG_MAGIC("NOT_OURS"),
    /** Damaged. */
    WRONG_CHECKSUM("CHECKSUM"),
    /** Of a version that never was. */
    UNKNOWN_VERSION("VERSION"),
    /** Of unknown kind, or entries that do not fit the length or hold impossible values. */
    MALFORMED("MISSHAPEN"),
    /** The sender is none of the configured peers. */
    UNKNOWN_PEER("STRANGER"),
    /** Sent too long ago. */
    LATE("LATE"),
    /** Sent too far in the future, by the receiver's clock. */
    FROM_THE_FUTURE("OF_THE_FUTURE");

    private final String logName;

    RejectionReason(String logName) {
        this.logName = logName;
    }

    /** The spelling in log lines; operators search for it, so it may differ from the name of the constant. */
    String logName() {
        return logName;
    }
}
