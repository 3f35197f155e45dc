package ploverdale.net.server;

/**
 * Receives the result of an attempt or a health check. Called exactly once, on the event loop, possibly before the call
 * that started the attempt returns.
 */
@FunctionalInterface
public interface AttemptListener {

    /** Called when the attempt has ended and no longer uses its connection. */
    void onAttemptEnded(AttemptResult result);
}
