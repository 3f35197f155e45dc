package ploverdale.gossip;

/** Why a datagram is rejected. */
public enum RejectionReason {
    /** Longer than {@link DatagramCodec#MAX_BYTES}. */
    TOO_LONG("TOO_LONG"),
    /** Shorter than the header and the checksum. */
    TOO_SHORT("TOO_SHORT"),
    /** The first byte is not the magic byte of gossip datagrams. */
    WRONG_MAGIC("NOT_OURS"),
    /** The checksum does not match the content. */
    WRONG_CHECKSUM("CHECKSUM"),
    /** The version is 0, which was never used. */
    UNKNOWN_VERSION("VERSION"),
    /** The kind is unknown, the length does not fit whole entries, or an entry holds an invalid value. */
    MALFORMED("MISSHAPEN"),
    /** The sender is not a configured peer. */
    UNKNOWN_PEER("STRANGER"),
    /** Sent longer ago than {@link GossipProtocol#MAX_TRANSIT_TIME}. */
    LATE("LATE"),
    /** Sent too far in the future according to the receiver's clock. */
    FROM_THE_FUTURE("OF_THE_FUTURE");

    private final String logName;

    RejectionReason(String logName) {
        this.logName = logName;
    }

    /** Returns the spelling in log lines. Operators search for it, so it stays when a constant is renamed. */
    String logName() {
        return logName;
    }
}
