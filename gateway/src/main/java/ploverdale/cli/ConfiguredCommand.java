package ploverdale.cli;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.InvalidSettingsException;

/** A command that reads the configuration of a gateway, from the file that its option or else EDGE_CONFIG names. */
abstract class ConfiguredCommand implements Command {
    @Option(name = "--config", metaVar = "FILE")
    private String config = System.getenv("EDGE_CONFIG");

    /**
     * Returns the path of the configuration file.
     *
     * @throws InvalidSettingsException if no file is named
     */
    Path configurationPath() {
        if (config == null || config.isEmpty()) {
            throw new InvalidSettingsException("no configuration: neither --config nor EDGE_CONFIG names a file");
        }
        return Path.of(config);
    }

    /** Reads and validates the configuration file. */
    ConfigurationFile readConfiguration() {
        return ConfigurationFile.read(configurationPath());
    }
}
