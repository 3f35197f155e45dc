package ploverdale.cli;

import io.vertx.core.Vertx;
import java.io.IOException;
import ploverdale.dev.WarmUpRun;
import ploverdale.log.Log;
import ploverdale.net.eventloop.SingleLoopVertx;

/** Runs a gateway between development servers and a client in this process, and prints how many requests succeeded. */
public final class RehearseCommand extends ConfiguredCommand {
    @Override
    public int run() throws IOException, InterruptedException {
        Vertx vertx = SingleLoopVertx.create();
        String result = Futures.await(WarmUpRun.start(vertx, new Log(System.err), readConfiguration()));
        System.out.println(result);
        return 0;
    }
}
