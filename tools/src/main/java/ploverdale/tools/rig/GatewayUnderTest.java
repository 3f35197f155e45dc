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

/** One real gateway in this process, on an event loop of its own. */
final class GatewayUnderTest {
    private final Vertx vertx = SingleLoopVertx.create();
    private final ConfigurationFile file;
    private int port;
    private long readyAfterMs;

    GatewayUnderTest(GatewayConfiguration told) throws IOException {
        Path p = Files.createTempFile("gateway", ".json");
        Files.writeString(p, told.json());
        file = ConfigurationFile.read(p);
        Files.delete(p);
    }

    /** Starts it; done when it is ready for clients. */
    Future<GatewayUnderTest> start() {
        long began = System.nanoTime();
        Log nowhere = new Log(new PrintStream(OutputStream.nullOutputStream()));
        return Gateway.builder(vertx, nowhere, file).withoutWarmUp().start().map(g -> {
            port = g.port();
            readyAfterMs = (System.nanoTime() - began) / 1_000_000;
            return this;
        });
    }

    long readyAfterMs() {
        return readyAfterMs;
    }

    int port() {
        return port;
    }

    /** Ends it at once, with all that it has open. */
    Future<Void> kill() {
        return vertx.close();
    }
}
