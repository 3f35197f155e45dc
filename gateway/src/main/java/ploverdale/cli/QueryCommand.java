package ploverdale.cli;

import io.vertx.core.Vertx;
import java.io.IOException;
import org.kohsuke.args4j.Argument;
import ploverdale.dev.DevClient;
import ploverdale.net.eventloop.SingleLoopVertx;

/** Sends one query through a gateway and prints its answer. */
public final class QueryCommand extends ConfiguredCommand {
    @Argument(required = true, metaVar = "QUERY")
    private String query;

    @Override
    public int run() throws IOException, InterruptedException {
        Vertx vertx = SingleLoopVertx.create();
        String answer = Futures.await(
                DevClient.connect(vertx, readConfiguration().listen()).compose(client -> client.query(query)));
        System.out.println(answer);
        return 0;
    }
}
