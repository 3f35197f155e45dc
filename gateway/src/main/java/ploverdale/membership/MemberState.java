package ploverdale.membership;

/**
 * What this gateway believes of a member. The constants stand in order of precedence: of two updates of the same
 * incarnation the later constant wins, and an update of a higher incarnation always wins.
 *
 * <table>
 * <caption>Transitions of another member</caption>
 * <tr><th>from</th><th>event</th><th>to</th></tr>
 * <tr><td>UNKNOWN</td><td>a packet of the member</td><td>ALIVE</td></tr>
 * <tr><td>UNKNOWN</td><td>the own probe was not answered within a protocol period</td><td>DEAD</td></tr>
 * <tr><td>ALIVE</td><td>the own probe was not answered, directly or indirectly, within a protocol period</td>
 *     <td>SUSPECT</td></tr>
 * <tr><td>SUSPECT</td><td>the own confirming probe was not answered, or the suspicion timeout has passed</td>
 *     <td>DEAD</td></tr>
 * <tr><td>SUSPECT, LEAVING, DEAD</td><td>a packet of the member with a higher incarnation</td><td>ALIVE</td></tr>
 * <tr><td>any</td><td>an update of a higher incarnation</td><td>the state of the update</td></tr>
 * <tr><td>any</td><td>an update of the same incarnation with a state of higher precedence</td>
 *     <td>the state of the update</td></tr>
 * </table>
 *
 * <p>A suspicion of a member that this gateway has been in contact with during the last protocol period is ignored. The
 * own state is ALIVE, and LEAVING once this gateway has begun to shut down.
 */
public enum MemberState {
    /** Configured, but neither it nor anybody else has said anything of it yet. */
    UNKNOWN("unheard"), // log line: on-call guide
    /** Reachable, as far as is known. */
    ALIVE("alive"),
    /** Did not answer a probe; dead unless it refutes this with a higher incarnation in time. */
    SUSPECT("suspected"),
    /** Has announced that it shuts down. */
    LEAVING("leaving"),
    /** Found dead by a second probe, or not refuted in time. */
    DEAD("gone");

    private final String logName;

    MemberState(String logName) {
        this.logName = logName;
    }

    /** The spelling in log lines; operators search for it, so it differs from the name of the constant. */
    public String logName() {
        return logName;
    }

    /** Whether an update with this state replaces a known state of the same incarnation. */
    boolean overrides(MemberState known) {
        return ordinal() > known.ordinal();
    }
}
