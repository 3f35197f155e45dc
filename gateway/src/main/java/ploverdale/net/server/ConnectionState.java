package ploverdale.net.server;

/**
 * States of a {@link ServerConnection}.
 *
 * <table>
 * <caption>Transitions</caption>
 * <tr><th>from</th><th>on</th><th>to</th></tr>
 * <tr><td>CONNECTING</td><td>TCP connection made, startup message written</td><td>HANDSHAKE</td></tr>
 * <tr><td>HANDSHAKE</td><td>ReadyForQuery</td><td>ANSWERED</td></tr>
 * <tr><td>ANSWERED</td><td>nothing was received behind ReadyForQuery</td><td>READY</td></tr>
 * <tr><td>READY</td><td>an attempt is written</td><td>AWAITING_ANSWER</td></tr>
 * <tr><td>AWAITING_ANSWER</td><td>ReadyForQuery that ends a complete answer, no transaction open</td><td>ANSWERED</td></tr>
 * <tr><td>any</td><td>loss, message out of order, connect timeout, attempt given up, eviction</td><td>CLOSED</td></tr>
 * </table>
 */
enum ConnectionState {
    /** The TCP connection is being made. */
    CONNECTING,
    /** The startup message is not answered yet. */
    HANDSHAKE,
    /** The last answer is complete; the bytes received with it have not all been decoded. */
    ANSWERED,
    /** Carries no attempt: idle in the pool, or about to be. */
    READY,
    /** Carries an attempt. */
    AWAITING_ANSWER,
    /** Final. */
    CLOSED;

    /** Whether the handshake has been completed and the connection is not closed. */
    boolean isEstablished() {
        return this == ANSWERED || this == READY || this == AWAITING_ANSWER;
    }
}
