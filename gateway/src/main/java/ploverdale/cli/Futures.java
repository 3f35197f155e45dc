package ploverdale.cli;

import io.vertx.core.Future;
import java.io.IOException;
import java.util.concurrent.ExecutionException;

/** Waits for futures of the event loop on the main thread. */
final class Futures {
    private Futures() {}

    /** The future's result, or an exception with the message of its failure. */
    static <T> T await(Future<T> future) throws IOException, InterruptedException {
        try {
            return future.toCompletionStage().toCompletableFuture().get();
        } catch (ExecutionException failure) {
            throw new IOException(failure.getCause().getMessage());
        }
    }
}
