package ploverdale.tools.fleet;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import ploverdale.tools.ledger.Ledger.Broken;
import ploverdale.tools.ledger.Ledger.Rule;

/**
 * A gateway as a process of its own, started as in production: from the built jar, with the JVM options of
 * deploy/gateway.args. It can be killed, paused and resumed, shut down gracefully, and started again under the same name.
 */
public final class GatewayProcess {
    private static final long EXIT_TIMEOUT_S = 20;

    /** Part of the log line that a gateway writes when it serves clients. */
    private static final String READY = " listens at ";

    /** The line of the process's status that has its largest resident memory in KiB. */
    private static final String PEAK_MEMORY = "VmHWM:";

    private final String name;
    private final Launch launch;
    private final BiConsumer<String, String> log;
    private final List<Integer> unrequestedExitCodes = new CopyOnWriteArrayList<>();
    private Process process;
    private AtomicBoolean endRequested; // of the present process
    private Path settingsFile;
    private boolean killed;
    private CompletableFuture<Void> ready;

    /**
     * How gateway processes are started.
     *
     * @param root the root directory of the repository
     * @param jar the gateway's jar file
     * @param serveArguments additional arguments of the command serve
     * @param argumentOverrides arguments of single gateways, by name, that replace serveArguments
     * @param classPathPrefix a directory of classes that take precedence over those of the jar, or null; see
     *     {@link MutationCheck}
     */
    public record Launch(
            Path root,
            Path jar,
            List<String> serveArguments,
            Map<String, List<String>> argumentOverrides,
            Path classPathPrefix) {
        /**
         * Finds the repository's root at or above the working directory, and the gateway's jar below it.
         *
         * @throws IOException if there is no such root, or the jar is not built
         */
        public static Launch locate(List<String> serveArguments) throws IOException {
            Path root = Path.of("").toAbsolutePath();
            while (root != null && !Files.exists(root.resolve("deploy/gateway.args"))) {
                root = root.getParent();
            }
            if (root == null) {
                throw new IOException("no deploy/gateway.args at or above the working directory");
            }
            Path jar = root.resolve("gateway/target/ploverdale.jar");
            if (!Files.exists(jar)) {
                throw new IOException("no gateway/target/ploverdale.jar; build it with mvn -q -DskipTests package");
            }
            return new Launch(root, jar, serveArguments, Map.of(), null);
        }

        /** Returns this launch with other arguments of serve for one gateway. */
        public Launch with(String name, List<String> arguments) {
            Map<String, List<String>> overrides = new HashMap<>(argumentOverrides);
            overrides.put(name, arguments);
            return new Launch(root, jar, serveArguments, overrides, classPathPrefix);
        }
    }

    /** @param log receives the gateway's name and each line that the process writes, on a reader thread */
    GatewayProcess(String name, Launch launch, BiConsumer<String, String> log) {
        this.name = name;
        this.launch = launch;
        this.log = log;
    }

    /** Starts the process, also after an earlier one has ended; completes when it serves clients. */
    public CompletableFuture<Void> start(String settings) throws IOException {
        Path file = Files.createTempFile("gateway-" + name, ".json");
        Files.writeString(file, settings);
        Path archive = launch.jar.resolveSibling("ploverdale.jsa");
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "@" + launch.root.resolve("deploy/gateway.args")));
        if (Files.exists(archive) && launch.classPathPrefix == null) {
            command.add("-XX:SharedArchiveFile=" + archive);
        }
        command.addAll(
                launch.classPathPrefix == null
                        ? List.of("-jar", launch.jar.toString())
                        : List.of("-cp", launch.classPathPrefix + File.pathSeparator + launch.jar, "ploverdale.Main"));
        command.addAll(List.of("serve", "--config", file.toString()));
        command.addAll(launch.argumentOverrides.getOrDefault(name, launch.serveArguments));
        Process started = new ProcessBuilder(command).redirectErrorStream(true).start();
        CompletableFuture<Void> serving = new CompletableFuture<>();
        AtomicBoolean requested = new AtomicBoolean();
        started.onExit().thenAccept(ended -> {
            if (!requested.get()) {
                unrequestedExitCodes.add(ended.exitValue());
            }
        });
        process = started;
        endRequested = requested;
        settingsFile = file;
        killed = false;
        ready = serving;
        Thread reader = new Thread(() -> readLog(started, serving, file), "log-of-" + name);
        reader.setDaemon(true);
        reader.start();
        return serving;
    }

    private void readLog(Process started, CompletableFuture<Void> serving, Path file) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                log.accept(name, line);
                if (line.contains(READY)) {
                    serving.complete(null);
                }
            }
        } catch (IOException e) {
            log.accept(name, "cannot read the log: " + e.getMessage());
        }
        serving.completeExceptionally(new IOException(name + " ended before it served clients"));
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            log.accept(name, "cannot delete the settings file: " + e.getMessage());
        }
    }

    /** Returns whether the process runs and has not been killed; true also while it is paused. */
    public boolean alive() {
        return process != null && !killed && process.isAlive();
    }

    /** Returns whether the process runs and has begun to serve clients. */
    public boolean isReady() {
        return alive() && ready.isDone() && !ready.isCompletedExceptionally();
    }

    public long pid() {
        return process.pid();
    }

    /** Returns the largest resident memory of the process so far, or 0 if it does not run. */
    long peakMemoryKb() {
        try {
            return Files.readAllLines(Path.of("/proc/" + pid() + "/status")).stream()
                    .filter(line -> line.startsWith(PEAK_MEMORY))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findAny()
                    .orElse(0);
        } catch (IOException e) {
            return 0; // the process has ended
        }
    }

    /** Sends SIGKILL; completes when the process has ended and its resources are released. */
    public CompletableFuture<Void> kill() {
        killed = true;
        if (process == null) {
            return CompletableFuture.completedFuture(null);
        }
        requestEnd();
        return process.destroyForcibly()
                .onExit()
                .orTimeout(EXIT_TIMEOUT_S, TimeUnit.SECONDS)
                .thenApply(x -> null);
    }

    /** Completes when the process serves clients or has ended; at once if none runs. */
    CompletableFuture<Void> started() {
        return alive() ? ready.handle((served, failure) -> null) : CompletableFuture.completedFuture(null);
    }

    /** Completes when the process has ended for whatever reason; at once if none was started. */
    public CompletableFuture<Void> ended() {
        return process == null
                ? CompletableFuture.completedFuture(null)
                : process.onExit().thenApply(x -> null);
    }

    /** Sends SIGTERM, which starts a graceful shutdown. */
    public void terminate() throws IOException, InterruptedException {
        requestEnd();
        signal("TERM");
    }

    /** Expects the end of the process from now on, unless it has ended. */
    private void requestEnd() {
        if (process != null && process.isAlive()) {
            endRequested.set(true);
        }
    }

    /** Returns a rule violation for each process that ended without being killed or terminated. */
    List<Broken> crashes() {
        return unrequestedExitCodes.stream()
                .map(code -> new Broken(Rule.NO_CRASH, name + " ended by itself with exit code " + code))
                .toList();
    }

    /** Replaces the settings file and sends SIGHUP, on which the gateway reads it again. */
    public void reload(String settings) throws IOException, InterruptedException {
        if (alive()) {
            Path next = Files.writeString(Files.createTempFile("gateway-" + name, ".next"), settings);
            Files.move(next, settingsFile, StandardCopyOption.REPLACE_EXISTING);
            signal("HUP");
        }
    }

    /** Sends SIGSTOP: the process is not scheduled until it is resumed. */
    public void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Sends SIGCONT, which ends a pause. */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String signalName) throws IOException, InterruptedException {
        if (alive()) {
            new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }
    }
}
