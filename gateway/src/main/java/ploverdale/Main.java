package ploverdale;

import java.io.IOException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import ploverdale.cli.BenchLinkCommand;
import ploverdale.cli.CheckCommand;
import ploverdale.cli.Command;
import ploverdale.cli.DevServersCommand;
import ploverdale.cli.HelpCommand;
import ploverdale.cli.QueryCommand;
import ploverdale.cli.RehearseCommand;
import ploverdale.cli.ServeCommand;
import ploverdale.cli.Usage;
import ploverdale.cli.VersionCommand;
import ploverdale.settings.InvalidSettingsException;

/** The entry point: parses the command line and runs the command that it names. */
public final class Main {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "serve", impl = ServeCommand.class),
        @SubCommand(name = "check", impl = CheckCommand.class),
        @SubCommand(name = "rehearse", impl = RehearseCommand.class),
        @SubCommand(name = "toy", impl = DevServersCommand.class),
        @SubCommand(name = "ask", impl = QueryCommand.class),
        @SubCommand(name = "benchlink", impl = BenchLinkCommand.class),
        @SubCommand(name = "version", impl = VersionCommand.class),
        @SubCommand(name = "help", impl = HelpCommand.class)
    })
    private Command command;

    private Main() {}

    /** Runs a command. Exit codes: 0 success, 1 failure, 2 invalid command line. */
    public static void main(String[] args) throws InterruptedException {
        Main main = new Main();
        try {
            new CmdLineParser(main).parseArgument(args);
        } catch (CmdLineException invalid) {
            System.err.println("ploverdale: " + invalid.getMessage());
            System.err.println(Usage.TEXT);
            System.exit(EXIT_USAGE);
        }
        try {
            System.exit(main.command.run());
        } catch (InvalidSettingsException | IOException failure) {
            System.err.println("ploverdale: " + failure.getMessage());
            System.exit(EXIT_FAILED);
        }
    }
}
