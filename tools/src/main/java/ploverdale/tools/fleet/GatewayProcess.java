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
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * One gateway as a process of its own, started as in service: from the built jar, within the bounds of deploy/gateway.args.
 * It can be killed outright, stopped without noticing and continued, asked to leave, and started again under its name.
 */
public final class GatewayProcess {
    private static final long ENDS_WITHIN_S = 20;
    private static final String READY = " listens at ";

    private final String name;
    private final Launch launch;
    private final BiConsumer<String, String> log;
    private Process process;
    private Path configurationFile;
    private boolean killed;
    private CompletableFuture<Void> ready;

    /**
     * How gateways are started.
     *
     * @param root of the repository
     * @param jar of the gateway
     * @param more arguments of serve
     * @param others the same for single gateways by name, in place of those
     * @param before classes that stand before those of the jar, or null; see {@link MutationCheck}
     */
    public record Launch(Path root, Path jar, List<String> more, Map<String, List<String>> others, Path before) {
        /** Finds the root above the working directory, and the jar that the build leaves there. */
        public static Launch found(List<String> more) throws IOException {
            Path root = Path.of("").toAbsolutePath();
            while (root != null && !Files.exists(root.resolve("deploy/gateway.args"))) {
                root = root.getParent();
            }
            if (root == null) {
                throw new IOException("no deploy/gateway.args above the working directory");
            }
            Path jar = root.resolve("gateway/target/ploverdale.jar");
            if (!Files.exists(jar)) {
                throw new IOException("no gateway/target/ploverdale.jar: mvn -q -DskipTests package makes it");
            }
            return new Launch(root, jar, more, Map.of(), null);
        }

        /** The same, with other arguments for one gateway. */
        public Launch with(String name, List<String> its) {
            Map<String, List<String>> all = new HashMap<>(others);
            all.put(name, its);
            return new Launch(root, jar, more, all, before);
        }
    }

    /** @param log hears each line of it with the gateway's name, on a thread of its own */
    GatewayProcess(String name, Launch launch, BiConsumer<String, String> log) {
        this.name = name;
        this.launch = launch;
        this.log = log;
    }

    /** Starts it, also again; done when it takes clients. */
    public CompletableFuture<Void> start(String configuration) throws IOException {
        Path file = Files.createTempFile("gateway-" + name, ".json");
        Files.writeString(file, configuration);
        Path archive = launch.jar.resolveSibling("ploverdale.jsa");
        List<String> line = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "@" + launch.root.resolve("deploy/gateway.args")));
        if (Files.exists(archive) && launch.before == null) {
            line.add("-XX:SharedArchiveFile=" + archive);
        }
        line.addAll(
                launch.before == null
                        ? List.of("-jar", launch.jar.toString())
                        : List.of("-cp", launch.before + File.pathSeparator + launch.jar, "ploverdale.Main"));
        line.addAll(List.of("serve", "--config", file.toString()));
        line.addAll(launch.others.getOrDefault(name, launch.more));
        Process p = new ProcessBuilder(line).redirectErrorStream(true).start();
        CompletableFuture<Void> up = new CompletableFuture<>();
        process = p;
        configurationFile = file;
        killed = false;
        ready = up;
        Thread reader = new Thread(() -> read(p, up, file), "log-of-" + name);
        reader.setDaemon(true);
        reader.start();
        return up;
    }

    private void read(Process p, CompletableFuture<Void> up, Path file) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(p.getInputStream(), StandardCharsets.UTF_8))) {
            for (String l = in.readLine(); l != null; l = in.readLine()) {
                log.accept(name, l);
                if (l.contains(READY)) {
                    up.complete(null);
                }
            }
        } catch (IOException e) {
            log.accept(name, "its log ends: " + e.getMessage());
        }
        up.completeExceptionally(new IOException(name + " ended before it was ready"));
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            log.accept(name, "its configuration stays: " + e.getMessage());
        }
    }

    public boolean alive() {
        return process != null && !killed && process.isAlive();
    }

    public boolean isReady() {
        return alive() && ready.isDone() && !ready.isCompletedExceptionally();
    }

    public long pid() {
        return process.pid();
    }

    /** SIGKILL: gone at once; done when the system has taken all back that it had. */
    public CompletableFuture<Void> kill() {
        killed = true;
        return process == null
                ? CompletableFuture.completedFuture(null)
                : process.destroyForcibly()
                        .onExit()
                        .orTimeout(ENDS_WITHIN_S, TimeUnit.SECONDS)
                        .thenApply(x -> null);
    }

    /** Done when it has ended, by whatever. */
    public CompletableFuture<Void> ended() {
        return process == null
                ? CompletableFuture.completedFuture(null)
                : process.onExit().thenApply(x -> null);
    }

    /** SIGTERM: asked to leave. */
    public void term() throws IOException, InterruptedException {
        signal("TERM");
    }

    /** SIGHUP, with a new configuration in its file. */
    public void hangUp(String configuration) throws IOException, InterruptedException {
        if (alive()) {
            Path next = Files.writeString(Files.createTempFile("gateway-" + name, ".next"), configuration);
            Files.move(next, configurationFile, StandardCopyOption.REPLACE_EXISTING);
            signal("HUP");
        }
    }

    /** SIGSTOP: stands still, and no timer of it runs. */
    public void stop() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** SIGCONT: goes on as if nothing had been. */
    public void goOn() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String which) throws IOException, InterruptedException {
        if (alive()) {
            new ProcessBuilder("kill", "-" + which, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }
    }
}
