package ploverdale.cli;

import io.vertx.core.Future;
import java.io.IOException;
import java.util.concurrent.ExecutionException;

/** Lets the main thread wait for futures that the event loop completes. */
final class Futures {
    private Futures() {}

    /**
     * Waits until the future completes and returns its result.
     *
     * @throws IOException if the future failed, with the message of the failure
     */
    static <T> T await(Future<T> future) throws IOException, InterruptedException {
        try {
            return future.toCompletionStage().toCompletableFuture().get();
        } catch (ExecutionException failure) {
            throw new IOException(failure.getCause().getMessage());
        }
    }
}
