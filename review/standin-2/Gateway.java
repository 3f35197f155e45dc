import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One gateway: a process of its own, started with the `run` command of the deploy file from the repository's root. */
final class Gateway {
    private static final List<Process> STARTED = new ArrayList<>();
    /** Files with the ids of the processes, for the script in case this process is killed outright. */
    private static final List<Path> PIDS = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Gateway::endAll));
    }

    private static synchronized void endAll() {
        STARTED.forEach(Process::destroyForcibly);
        STARTED.forEach(process -> process.onExit().orTimeout(5, TimeUnit.SECONDS).exceptionally(late -> process).join());
        PIDS.forEach(file -> file.toFile().delete());
    }

    private static synchronized void remember(Process process, Path folder) throws IOException {
        STARTED.add(process);
        Path file = folder.resolve("pids");
        PIDS.add(file);
        Files.writeString(file, process.pid() + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    private final Path folder;
    private final String name;
    private final InetSocketAddress listen;
    private String prelude = "";
    private Process process;

    Gateway(Path folder, String name, InetSocketAddress listen) {
        this.folder = folder;
        this.name = name;
        this.listen = listen;
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    InetSocketAddress address() {
        return listen;
    }

    /** Has the process hold at most so many descriptors, as the platform does. */
    void limitDescriptors(int most) {
        prelude = "ulimit -n " + most + "; ";
    }

    Path configurationFile() {
        return folder.resolve(name + ".json");
    }

    /** Starts the process and waits until it answers an empty query. */
    void start(String configuration) throws IOException {
        Files.writeString(configurationFile(), configuration);
        File root = new File(".").getCanonicalFile();
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", prelude + runCommand(root.toPath()));
        builder.directory(root);
        builder.environment().put("EDGE_CONFIG", configurationFile().toString());
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
        remember(process, folder);
        long until = System.currentTimeMillis() + 30_000;
        while (System.currentTimeMillis() < until && process.isAlive()) {
            try (Client client = new Client(listen)) {
                client.timeout(5000);
                client.query("");
                if (client.answer().code().equals("empty")) {
                    return;
                }
            } catch (IOException notYet) {
                Clock.sleep(50);
            }
        }
        throw new IOException("the gateway is not ready: " + log());
    }

    private static String runCommand(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml names no run command");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    long pid() {
        return process.pid();
    }

    String log() throws IOException {
        Path log = folder.resolve(name + ".log");
        return Files.exists(log) ? Files.readString(log) : "";
    }

    /** Sends a signal to the process, which the run command started with exec, so it has the shell's pid. */
    void signal(String signal) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
    }

    void kill() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
    }
}
