package ploverdale.net.server;

/**
 * The states of a {@link ServerConnection}.
 *
 * <table>
 * <caption>Transitions</caption>
 * <tr><th>from</th><th>on</th><th>to</th></tr>
 * <tr><td>CONNECTING</td><td>TCP connection established, startup message written</td><td>HANDSHAKE</td></tr>
 * <tr><td>HANDSHAKE</td><td>ReadyForQuery</td><td>ANSWERED</td></tr>
 * <tr><td>ANSWERED</td><td>no bytes were received after ReadyForQuery</td><td>READY</td></tr>
 * <tr><td>READY</td><td>an attempt is written</td><td>AWAITING_ANSWER</td></tr>
 * <tr><td>AWAITING_ANSWER</td><td>ReadyForQuery after a complete answer, no transaction open</td><td>ANSWERED</td></tr>
 * <tr><td>any</td><td>lost, protocol violation, connect timeout, attempt abandoned, evicted</td><td>CLOSED</td></tr>
 * </table>
 */
enum ConnectionState {
    /** The TCP connection is being established. */
    CONNECTING,
    /** The server has not answered the startup message yet. */
    HANDSHAKE,
    /** The last answer is complete; not all of the bytes that were received with it have been decoded yet. */
    ANSWERED,
    /** The connection carries no attempt: it is idle in the pool, or about to be. */
    READY,
    /** The connection carries an attempt. */
    AWAITING_ANSWER,
    /** The connection is closed. No other state follows. */
    CLOSED;

    /** Returns whether the handshake has been completed and the connection is not closed. */
    boolean isEstablished() {
        return this == ANSWERED || this == READY || this == AWAITING_ANSWER;
    }
}
