package ploverdale.cli;

import java.nio.file.Path;
import java.util.Optional;
import org.kohsuke.args4j.Option;
import ploverdale.quota.QuotaSettings;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.FleetConfigurationFile;

/**
 * A command that also reads the limits that belong to all gateways, where a file names them. Quota settings are no type of a
 * field or method here: args4j would load the class for each command, also where no file is named.
 */
abstract class QuotaCommand extends ConfiguredCommand {
    @Option(name = "--fleet", metaVar = "FILE")
    private String fleet;

    /** The file's path, empty where no file was named. */
    Optional<Path> quotaPath() {
        return Optional.ofNullable(fleet).map(Path::of);
    }

    /** Reads the file and checks that it fits the configuration; empty where no file was named. */
    Optional<QuotaSettings> readQuotaSettings(ConfigurationFile configuration) {
        if (fleet == null) {
            return Optional.empty();
        }
        return Optional.of(
                FleetConfigurationFile.fits(FleetConfigurationFile.read(Path.of(fleet)), configuration.settings()));
    }
}
