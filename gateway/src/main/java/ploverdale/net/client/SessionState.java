package ploverdale.net.client;

/**
 * The states of a client connection, which determine how its input is handled.
 *
 * <pre>
 * from           event                                              to
 * ACTIVE         a message that ends the connection is read, or     INPUT_ENDED, or INPUT_UNREADABLE if the
 *                the session's input is aborted                     boundaries of later messages are unknown
 * INPUT_ENDED    another such message is read                       INPUT_ENDED or INPUT_UNREADABLE, likewise
 * any            the last response is written, the client closes    CLOSED
 *                the connection, it is closed as idle, or a timeout
 * </pre>
 */
enum SessionState {
    /** Messages are decoded and run. */
    ACTIVE,
    /**
     * The connection is closed after the responses to earlier commands. Later requests are counted and then rejected.
     */
    INPUT_ENDED,
    /** As {@link #INPUT_ENDED}, but message boundaries are unknown, so that all input is discarded. */
    INPUT_UNREADABLE,
    /** The connection is closed or being closed; the session has released its memory and its requests. */
    CLOSED;

    /** Returns whether received bytes are decoded. */
    boolean decodesInput() {
        return this == ACTIVE || this == INPUT_ENDED;
    }

    /** Returns whether the connection is open, but messages received from now on are not run. */
    boolean isInputEnded() {
        return this == INPUT_ENDED || this == INPUT_UNREADABLE;
    }
}
