package ploverdale.net.server;

/**
 * How far the bytes of an attempt have been written to its connection. The names appear in the log.
 *
 * <table>
 * <caption>Transitions</caption>
 * <tr><th>from</th><th>on</th><th>to</th></tr>
 * <tr><td>NO_CONNECTION</td><td>the bytes are handed to the socket</td><td>IN_DOUBT</td></tr>
 * <tr><td>IN_DOUBT</td><td>the socket has taken all bytes</td><td>WRITTEN</td></tr>
 * <tr><td>IN_DOUBT</td><td>the socket has failed before that</td><td>NOT_WRITTEN</td></tr>
 * <tr><td>any</td><td>a health check moves to another connection</td><td>NO_CONNECTION</td></tr>
 * </table>
 */
enum DeliveryState {
    /** No connection is ready yet. */
    NO_CONNECTION,
    /** Not all bytes were written, so the server cannot have run the statement. */
    NOT_WRITTEN,
    /** The bytes are being written. */
    IN_DOUBT,
    /** All bytes were written; the server may have run the statement. */
    WRITTEN;

    /** Returns whether the server may have received the complete statement. */
    boolean mayHaveArrived() {
        return this == IN_DOUBT || this == WRITTEN;
    }
}
