package ploverdale.net.client;

/**
 * What becomes of the input of a client's connection.
 *
 * <pre>
 * from           event                                              to
 * ACTIVE         a message that ends the connection, or the         INPUT_ENDED, or INPUT_UNREADABLE if no later
 *                session is given up                                message can be found in what comes
 * INPUT_ENDED    another such message                               INPUT_ENDED or INPUT_UNREADABLE, likewise
 * any            the last response is written, the client closes,   CLOSED
 *                the connection is closed as idle, or a timeout
 * </pre>
 */
enum SessionState {
    /** Messages are read and run. */
    ACTIVE,
    /** The connection ends behind the responses to earlier commands; later requests are counted, to be rejected. */
    INPUT_ENDED,
    /** As {@link #INPUT_ENDED}, but the boundaries of messages are lost, so that what comes is dropped. */
    INPUT_UNREADABLE,
    /** The connection is closed or being closed; all that the session held has been released. */
    CLOSED;

    /** Whether bytes that come are decoded. */
    boolean decodesInput() {
        return this == ACTIVE || this == INPUT_ENDED;
    }

    /** Whether the connection is open but runs nothing that comes from now on. */
    boolean isInputEnded() {
        return this == INPUT_ENDED || this == INPUT_UNREADABLE;
    }
}
