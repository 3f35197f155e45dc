package ploverdale.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import ploverdale.benchlink.BenchLink;
import ploverdale.settings.FleetConfigurationFile;

/** Runs simulated gateways, connected to the simulator by standard input and output, until the input ends. */
public final class BenchLinkCommand extends QuotaCommand {
    @Override
    public int run() throws IOException {
        Optional<Path> quotaPath = quotaPath();
        BenchLink link = new BenchLink(
                System.in, System.out, quotaPath.isEmpty() ? null : FleetConfigurationFile.read(quotaPath.get()));
        link.run();
        return 0;
    }
}
