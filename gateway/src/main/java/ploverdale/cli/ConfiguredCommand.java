package ploverdale.cli;

import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.InvalidSettingsException;

/** A command that reads a gateway's configuration, from the file of its option or else of the environment. */
abstract class ConfiguredCommand implements Command {
    @Option(name = "--config", metaVar = "FILE")
    private String config = System.getenv("EDGE_CONFIG");

    /** The file's path. */
    Path configurationPath() {
        if (config == null || config.isEmpty()) {
            throw new InvalidSettingsException("no configuration: neither --config nor EDGE_CONFIG names a file");
        }
        return Path.of(config);
    }

    /** Reads the file. */
    ConfigurationFile readConfiguration() {
        return ConfigurationFile.read(configurationPath());
    }
}
