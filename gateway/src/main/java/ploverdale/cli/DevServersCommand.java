package ploverdale.cli;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import ploverdale.dev.DevServers;
import ploverdale.net.eventloop.SingleLoopVertx;
import ploverdale.settings.ConfigurationFile;

/** Runs the development servers and discovery until the process is stopped. */
public final class DevServersCommand extends ConfiguredCommand {
    @Override
    public int run() throws IOException, InterruptedException {
        ConfigurationFile configuration = readConfiguration();
        DevServers servers = Futures.await(DevServers.start(SingleLoopVertx.create(), configuration, false));
        System.out.println(
                servers.entries().size() + " development servers and discovery at " + servers.discovery() + " are up");
        new CountDownLatch(1).await();
        return 0;
    }
}
