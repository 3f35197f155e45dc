package ploverdale;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import ploverdale.benchlink.BenchLink;
import ploverdale.clock.Clock;
import ploverdale.dev.DevClient;
import ploverdale.dev.DevServers;
import ploverdale.dev.Rehearsal;
import ploverdale.log.Log;
import ploverdale.net.Gateway;
import ploverdale.quota.QuotaAllocation;
import ploverdale.quota.QuotaSettings;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.FleetConfigurationFile;
import ploverdale.settings.InvalidSettingsException;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** The command line. Exit codes: 0 done, 1 failed, 2 not understood. */
public final class Main {
    private static final String USAGE = """
            usage: java -jar ploverdale.jar COMMAND
              serve [--config FILE]   one gateway; FILE, or else $EDGE_CONFIG, names its configuration
                    [--fleet FILE]    with budgets that belong to all gateways together, as FILE says
              check [--config FILE]   reads the configuration as serve does, and tells what it says
                    [--fleet FILE]    and what would be divided, and this gateway's floor
              rehearse --config FILE  a gateway between toy servers and a toy client, in this process
              toy --config FILE       toy database servers and discovery, at the addresses that FILE names
              ask --config FILE QUERY one query through the gateway at the address that FILE names
              benchlink               the decisions on the simulator's wire, on standard input and output
                    [--fleet FILE]    with budgets where gateways may talk
              version                 the version
              help                    this text""";

    /** A sub-command. */
    interface Command {
        int run() throws IOException, InterruptedException;
    }

    @Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "serve", impl = Serve.class),
        @SubCommand(name = "check", impl = Check.class),
        @SubCommand(name = "rehearse", impl = Rehearse.class),
        @SubCommand(name = "toy", impl = Toy.class),
        @SubCommand(name = "ask", impl = Ask.class),
        @SubCommand(name = "benchlink", impl = Bench.class),
        @SubCommand(name = "version", impl = Version.class),
        @SubCommand(name = "help", impl = Help.class)
    })
    private Command command;

    private Main() {}

    public static void main(String[] args) throws InterruptedException {
        Main main = new Main();
        try {
            new CmdLineParser(main).parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println("ploverdale: " + e.getMessage());
            System.err.println(USAGE);
            System.exit(2);
        }
        try {
            System.exit(main.command.run());
        } catch (InvalidSettingsException | IOException e) {
            System.err.println("ploverdale: " + e.getMessage());
            System.exit(1);
        }
    }

    /** Where the configuration is. */
    abstract static class WithFile implements Command {
        @Option(name = "--config", metaVar = "FILE")
        private String config = System.getenv("EDGE_CONFIG");

        Path path() {
            if (config == null || config.isEmpty()) {
                throw new InvalidSettingsException("no configuration: neither --config nor EDGE_CONFIG names a file");
            }
            return Path.of(config);
        }

        ConfigurationFile file() {
            return ConfigurationFile.read(path());
        }
    }

    /** The file that switches the fleet's parts on. */
    abstract static class WithFleet extends WithFile {
        @Option(name = "--fleet", metaVar = "FILE")
        private String fleet;

        /** Null where no file was named. Its content is no type of a method here: the command line would load the class. */
        Path fleetFile() {
            return fleet == null ? null : Path.of(fleet);
        }
    }

    /** One gateway, until SIGTERM; at SIGHUP it reads its configuration again. */
    public static final class Serve extends WithFleet {
        @Override
        public int run() throws IOException, InterruptedException {
            Log log = new Log(System.err);
            log.takeOver();
            ConfigurationFile file = file();
            Optional<QuotaSettings> fleet = fleetFile() == null
                    ? Optional.empty()
                    : Optional.of(
                            FleetConfigurationFile.fits(FleetConfigurationFile.read(fleetFile()), file.settings()));
            CompletableFuture<Gateway> started = new CompletableFuture<>();
            // From the first moment on: unhandled, a SIGHUP ends the program. One that comes during the start is acted
            // on behind it.
            if (Signal.handle(new Signal("HUP"), x -> started.thenAccept(g -> g.renew(path())))
                    == SignalHandler.SIG_IGN) {
                log.line(
                        "SIGHUP is ignored by what started this program, as nohup does: new configurations will not be read");
            }
            Vertx vertx = Gateway.vertx();
            Gateway gateway;
            try {
                gateway = await(Gateway.start(vertx, log, file, fleet));
            } catch (IOException e) {
                throw new IOException("cannot listen at " + file.listen() + ": " + e.getMessage());
            }
            started.complete(gateway);
            CountDownLatch ended = new CountDownLatch(1);
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                long signalNanos = Clock.system().nanos();
                                gateway.runOnLoop(() -> gateway.endPlanned(signalNanos, ended));
                                try {
                                    ended.await();
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                                Runtime.getRuntime()
                                        .halt(0); // a planned restart went well; the signal's own code says otherwise
                            },
                            "planned-restart"));
            new CountDownLatch(1).await();
            return 0;
        }
    }

    /** Reads the configuration and tells what it says. */
    public static final class Check extends WithFleet {
        @Override
        public int run() {
            ConfigurationFile f = file();
            System.out.println("gateway " + f.name() + " listens at " + f.listen() + ", discovery at " + f.discovery());
            System.out.println(f.settings().requestClasses().size() + " op types, "
                    + f.settings().tenants().size() + " tenants, "
                    + f.known().entries().size() + " servers known, " + f.sockets() + " descriptors");
            QuotaSettings fleet = fleetFile() == null
                    ? null
                    : FleetConfigurationFile.fits(FleetConfigurationFile.read(fleetFile()), f.settings());
            if (fleet != null) {
                QuotaAllocation d = fleet.division(f.settings().started());
                System.out.println("fleet of " + d.gateways() + ", division " + Integer.toHexString(d.id()) + ", floor "
                        + fleet.floorShare() + " of each right");
                for (int b = 0; b < d.budgets().size(); b++) {
                    System.out.println("  " + d.budgets().get(b).name() + ": "
                            + d.budgets().get(b).whole() + " in all, "
                            + d.right(f.settings().started().me(), b) + " here by right, of them "
                            + d.floor(f.settings().started().me(), b) + " as floor");
                }
                if (fleet.keeping() != null) {
                    System.out.println("  kept by " + fleet.keeping().copies() + ": " + fleet.keeping());
                }
            }
            return 0;
        }
    }

    /** A gateway, toy servers and a toy client in one process. */
    public static final class Rehearse extends WithFile {
        @Override
        public int run() throws IOException, InterruptedException {
            Vertx vertx = Gateway.vertx();
            String told = await(Rehearsal.play(vertx, new Log(System.err), file()));
            System.out.println(told);
            return 0;
        }
    }

    /** Toy servers and discovery, until stopped. */
    public static final class Toy extends WithFile {
        @Override
        public int run() throws IOException, InterruptedException {
            ConfigurationFile file = file();
            DevServers toy = await(DevServers.start(Gateway.vertx(), file, false));
            System.out.println(toy.entries().size() + " toy servers and discovery at " + toy.discovery() + " are up");
            new CountDownLatch(1).await();
            return 0;
        }
    }

    /** One query. */
    public static final class Ask extends WithFile {
        @Argument(required = true, metaVar = "QUERY")
        private String query;

        @Override
        public int run() throws IOException, InterruptedException {
            Vertx vertx = Gateway.vertx();
            String answer = await(DevClient.connect(vertx, file().listen()).compose(c -> c.ask(query)));
            System.out.println(answer);
            return 0;
        }
    }

    private static <T> T await(Future<T> future) throws IOException, InterruptedException {
        try {
            return future.toCompletionStage().toCompletableFuture().get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage());
        }
    }

    /** The decisions on the simulator's wire. */
    public static final class Bench extends WithFleet {
        @Override
        public int run() throws IOException {
            new BenchLink(System.in, System.out, fleetFile() == null ? null : FleetConfigurationFile.read(fleetFile()))
                    .run();
            return 0;
        }
    }

    /** The version. */
    public static final class Version implements Command {
        @Override
        public int run() {
            String v = Main.class.getPackage().getImplementationVersion();
            System.out.println("ploverdale " + (v == null ? "unpackaged" : v));
            return 0;
        }
    }

    /** The usage. */
    public static final class Help implements Command {
        @Override
        public int run() {
            System.out.println(USAGE);
            return 0;
        }
    }
}
