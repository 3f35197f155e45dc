package ploverdale.tools.rig;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import ploverdale.log.Log;
import ploverdale.net.Gateway;
import ploverdale.net.eventloop.SingleLoopVertx;
import ploverdale.settings.ConfigurationFile;
import ploverdale.tools.stand.GatewayConfiguration;

/** A real gateway in this process, with its own event loop. */
final class GatewayUnderTest {
    private final Vertx vertx = SingleLoopVertx.create();
    private final ConfigurationFile file;
    private int port;
    private long readyAfterMs;

    GatewayUnderTest(GatewayConfiguration configuration) throws IOException {
        Path path = Files.createTempFile("gateway", ".json");
        Files.writeString(path, configuration.json());
        file = ConfigurationFile.read(path);
        Files.delete(path);
    }

    /** Starts the gateway; the future completes when it accepts clients. */
    Future<GatewayUnderTest> start() {
        long startedNs = System.nanoTime();
        Log discardedLog = new Log(new PrintStream(OutputStream.nullOutputStream()));
        return Gateway.builder(vertx, discardedLog, file)
                .withoutWarmUp()
                .start()
                .map(gateway -> {
                    port = gateway.port();
                    readyAfterMs = (System.nanoTime() - startedNs) / 1_000_000;
                    return this;
                });
    }

    /** Returns the milliseconds from the start until it accepted clients. */
    long readyAfterMs() {
        return readyAfterMs;
    }

    int port() {
        return port;
    }

    /** Stops the gateway at once, without a graceful shutdown, and closes all its sockets. */
    Future<Void> kill() {
        return vertx.close();
    }
}
