package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway in a process of its own, with its configuration and log in a directory of the test. */
final class ServingProcess implements AutoCloseable {
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();

    final Process process;
    private final Path log;
    private final long startNanos = System.nanoTime();

    private ServingProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** Returns the root directory of the repository. */
    static Path root() {
        Path directory = Path.of("").toAbsolutePath();
        while (!Files.exists(directory.resolve("deploy/gateway.args"))) {
            directory = directory.getParent();
        }
        return directory;
    }

    /** Returns the command line of {@code serve} for the classes under test, with the JVM options of the deployment. */
    static List<String> onClassPath(Path configuration) {
        List<String> command = new ArrayList<>(java());
        command.addAll(List.of("-cp", classPath(), "ploverdale.Main", "serve", "--config", configuration.toString()));
        return command;
    }

    /** Returns the java command with the JVM options of the deployment. */
    static List<String> java() {
        return List.of(JAVA, "@" + root().resolve("deploy/gateway.args"));
    }

    static String classPath() {
        return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    }

    /** Starts the command, with its log in a new file in the directory. */
    static ServingProcess start(Path directory, List<String> command) throws IOException {
        File log = Files.createTempFile(directory, "gateway", ".log").toFile();
        return start(new ProcessBuilder(command).redirectError(log), log);
    }

    /** Starts the process of the builder, which writes its log to this file. */
    static ServingProcess start(ProcessBuilder builder, File log) throws IOException {
        return new ServingProcess(builder.start(), log.toPath());
    }

    /** Waits until the gateway listens, and returns its port. */
    int port() throws Exception {
        return Integer.parseInt(line("listens at").replaceAll(".*:(\\d+), .*", "$1"));
    }

    /** Waits for a line of the log that contains this text, and returns it. */
    String line(String part) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
        while (true) {
            for (String line : Files.readAllLines(log)) {
                if (line.contains(part)) {
                    return line;
                }
            }
            assertThat(System.nanoTime())
                    .as("the log has \"%s\":\n%s", part, log())
                    .isLessThan(end);
            Thread.sleep(5);
        }
    }

    /** Returns the time since the process was started, in ms. */
    long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    void hangUp() throws Exception {
        String pid = Long.toString(process.pid());
        assertThat(new ProcessBuilder("kill", "-HUP", pid).start().waitFor()).isZero();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
