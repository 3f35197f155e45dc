package ploverdale.cli;

import java.nio.file.Path;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import ploverdale.quota.QuotaSettings;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.FleetConfigurationFile;

/**
 * A command that also reads the file that enables what gateways share, if its option names one. Fields and methods of
 * this class have no QuotaSettings as their type, hence the Optional: args4j inspects them and would load that class
 * for each command, even if no file is named.
 */
abstract class QuotaCommand extends ConfiguredCommand {
    @Option(name = "--fleet", metaVar = "FILE")
    private String fleet;

    /** Returns the path of the file; empty if none is named. */
    Optional<Path> quotaPath() {
        return Optional.ofNullable(fleet).map(Path::of);
    }

    /** Reads the file and checks that it is compatible with the configuration; returns empty if no file is named. */
    Optional<QuotaSettings> readQuotaSettings(ConfigurationFile configuration) {
        if (fleet == null) {
            return Optional.empty();
        }
        return Optional.of(
                FleetConfigurationFile.requireCompatible(FleetConfigurationFile.read(Path.of(fleet)), configuration.settings()));
    }
}
