package ploverdale.model;

/**
 * Parts of what belongs to all gateways together, as this one may spend them. The module asks before it spends; who holds
 * which parts is decided elsewhere.
 */
public interface Quota {
    /** What a probe is for: its time has come, an op needs the word, or a sign of trouble. */
    enum HealthCheckReason {
        TIMED,
        ASKED,
        OTHER
    }

    /**
     * Spends one op of a tenant's agreed traffic; false where none is to be had now.
     *
     * @param now as the module is told it, in tenths of a millisecond
     */
    boolean request(long now, TenantId tenant);

    /** When an op of this tenant may be spent again, from now, in tenths of a millisecond; 0: nothing is known of that. */
    long retryAfter(long now, TenantId tenant);

    /** Whether sends out at a server are such parts; then each gateway's own limit need not be a share of a whole. */
    boolean limitsSends();

    /** Whether a further send may be out at this server; it may be cold. */
    boolean hasSend(ServerId server, boolean cold);

    /** A send goes out, and {@link #sendEnded} follows; false, and none follows, where it may not after all. */
    boolean send(ServerId server, boolean cold);

    /** A send has ended; cold as it was told with the send. */
    void sendEnded(ServerId server, boolean cold);

    /** Whether a send beyond an op's first could be had now, beside so many others that are reserved. */
    boolean hasAgain(int reserved);

    /** Spends a send beyond an op's first; false where none is to be had now. */
    boolean again();

    /** Spends a probe; false where none is to be had now. */
    boolean probe(HealthCheckReason why);
}
