package ploverdale.membership;

/**
 * The state of a member as known to this gateway. The constants are in order of precedence: of two updates of the same
 * incarnation, the one with the later constant wins. An update of a higher incarnation always wins.
 *
 * <table>
 * <caption>Transitions of the other members</caption>
 * <tr><th>from</th><th>event</th><th>to</th></tr>
 * <tr><td>UNKNOWN</td><td>a packet of the member</td><td>ALIVE</td></tr>
 * <tr><td>UNKNOWN</td><td>a probe by this gateway was not answered within a protocol period</td><td>DEAD</td></tr>
 * <tr><td>ALIVE</td><td>a probe by this gateway was not answered within a protocol period, directly or indirectly</td>
 *     <td>SUSPECT</td></tr>
 * <tr><td>SUSPECT</td><td>a confirming probe by this gateway was not answered, or the suspicion has timed out</td>
 *     <td>DEAD</td></tr>
 * <tr><td>SUSPECT, LEAVING, DEAD</td><td>a packet of the member with a higher incarnation</td><td>ALIVE</td></tr>
 * <tr><td>any</td><td>an update of a higher incarnation</td><td>the state of the update</td></tr>
 * <tr><td>any</td><td>an update of the same incarnation with a state of higher precedence</td>
 *     <td>the state of the update</td></tr>
 * </table>
 *
 * <p>An update that suspects a member is ignored if a packet of that member has arrived within the last protocol
 * period. The state of this gateway itself is ALIVE, or LEAVING once its shutdown has begun.
 */
public enum MemberState {
    /** Configured, but neither a packet of it nor an update about it has been received yet. */
    UNKNOWN("unheard"), // log line: on-call guide
    /** Assumed to be running and reachable. */
    ALIVE("alive"),
    /** Did not answer a probe. Becomes DEAD unless it refutes the suspicion with a higher incarnation in time. */
    SUSPECT("suspected"),
    /** Has announced its shutdown. */
    LEAVING("leaving"),
    /** Did not answer a confirming probe, or did not refute the suspicion in time. */
    DEAD("gone");

    private final String logName;

    MemberState(String logName) {
        this.logName = logName;
    }

    /**
     * Returns the spelling in log lines. Operators search for it, so it stays although the constants are named
     * otherwise.
     */
    public String logName() {
        return logName;
    }

    /** Returns whether an update with this state replaces a known state of the same incarnation. */
    boolean overrides(MemberState known) {
        return ordinal() > known.ordinal();
    }
}
