package ploverdale.net.server;

/** Receives the result of an attempt or a health check, exactly once, on the event loop; possibly before the call that started it returns. */
@FunctionalInterface
public interface AttemptListener {

    /** The attempt has ended and uses its connection no more. */
    void onAttemptEnded(AttemptResult result);
}
