package ploverdale.cli;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.net.Gateway;
import ploverdale.net.eventloop.SingleLoopVertx;
import ploverdale.quota.QuotaSettings;
import ploverdale.settings.ConfigurationFile;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Runs one gateway. SIGTERM begins its graceful shutdown; on SIGHUP it reloads its configuration. */
public final class ServeCommand extends QuotaCommand {
    @Override
    public int run() throws IOException, InterruptedException {
        Log log = new Log(System.err);
        log.captureLibraryLogs();
        ConfigurationFile configuration = readConfiguration();
        Optional<QuotaSettings> quotaSettings = readQuotaSettings(configuration);
        CompletableFuture<Gateway> started = new CompletableFuture<>();
        reloadOnHangUp(started, log);
        Vertx vertx = SingleLoopVertx.create();
        try {
            started.complete(start(vertx, log, configuration, quotaSettings, started));
        } catch (IOException failure) {
            started.completeExceptionally(failure);
            throw failure;
        }
        new CountDownLatch(1).await(); // the shutdown hook terminates the process
        return 0;
    }

    /**
     * Installs the handler of SIGHUP, which would otherwise terminate the process. If the signal arrives while the
     * gateway starts, the configuration is reloaded after the start.
     */
    private void reloadOnHangUp(CompletableFuture<Gateway> started, Log log) {
        SignalHandler reload =
                signal -> started.thenAccept(gateway -> gateway.reloadConfiguration(configurationPath()));
        SignalHandler previous = Signal.handle(new Signal("HUP"), reload);
        if (previous == SignalHandler.SIG_IGN) {
            log.line(
                    "SIGHUP is ignored by what started this program, as nohup does: new configurations will not be read");
        }
    }

    private static Gateway start(
            Vertx vertx,
            Log log,
            ConfigurationFile configuration,
            Optional<QuotaSettings> quotaSettings,
            CompletableFuture<Gateway> started)
            throws IOException, InterruptedException {
        try {
            return Futures.await(Gateway.builder(vertx, log, configuration)
                    .quotaSettings(quotaSettings)
                    .beforeListening(gateway -> shutDownOnTermination(gateway, started))
                    .start());
        } catch (IOException failure) {
            throw new IOException("cannot listen at " + configuration.listen() + ": " + failure.getMessage());
        }
    }

    /** Installs the handler of SIGTERM. It does nothing if the process exits because the start has failed. */
    private static void shutDownOnTermination(Gateway gateway, CompletableFuture<Gateway> started) {
        Runnable shutDownUnlessFailed = () -> {
            if (!started.isCompletedExceptionally()) {
                shutDown(gateway);
            }
        };
        Thread hook = new Thread(shutDownUnlessFailed, "planned-restart");
        Runtime.getRuntime().addShutdownHook(hook);
    }

    private static void shutDown(Gateway gateway) {
        long signalNanos = Clock.system().nanos();
        CountDownLatch finished = new CountDownLatch(1);
        gateway.runOnLoop(() -> gateway.shutdownGracefully(signalNanos, finished));
        try {
            finished.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        // Replaces the exit code of the signal, which would denote a failure, since a graceful shutdown is a success.
        Runtime.getRuntime().halt(0);
    }
}
