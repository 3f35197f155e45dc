package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Enumeration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.jar.Attributes;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A directory as the {@code build} command of deploy/balancer.toml leaves it, with one jar of the classes under test and
 * their libraries, in which gateways are started by the {@code run} command.
 */
final class DeployedGateway {
    private static final long BUILD_TIMEOUT_S = 60;

    final Path root;

    /** Creates the directories and the jar; see {@link #archive} and {@link #launcher} for the remaining files. */
    DeployedGateway(Path root) throws IOException {
        this.root = root;
        for (String directory : List.of("deploy", "gateway/target", "example")) {
            Files.createDirectories(root.resolve(directory));
        }
        for (String file : List.of("deploy/gateway.args", "deploy/launcher.sh", "example/gateway.json")) {
            Files.copy(ServingProcess.root().resolve(file), root.resolve(file));
        }
        writeJar(root.resolve("gateway/target/ploverdale.jar"));
    }

    Path classArchive() {
        return root.resolve("gateway/target/ploverdale.jsa");
    }

    /** Creates the class archive by that part of {@code build}, with these shell words before it. */
    void archive(String before) throws Exception {
        Matcher commands = Pattern.compile("\\(rm -f .*\\)$").matcher(entry("build"));
        assertThat(commands.find()).isTrue();
        runToCompletion(new ProcessBuilder("sh", "-c", before + commands.group()));
    }

    /** Creates the launcher's file by that part of {@code build}. */
    void launcher(Map<String, String> environment) throws Exception {
        Matcher command = Pattern.compile("sh deploy/launcher.sh[^&|]*").matcher(entry("build"));
        assertThat(command.find()).isTrue();
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", command.group().strip());
        builder.environment().putAll(environment);
        runToCompletion(builder);
    }

    private void runToCompletion(ProcessBuilder builder) throws Exception {
        File output = Files.createTempFile(root, "build", ".log").toFile();
        Process process = builder.directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start();
        assertThat(process.waitFor(BUILD_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).as(Files.readString(output.toPath())).isZero();
    }

    /** Starts a gateway by {@code run}, with these shell words before and after it. */
    ServingProcess start(Path configuration, String before, String after) throws IOException {
        return start(configuration, before, after, Map.of());
    }

    ServingProcess start(Path configuration, String before, String after, Map<String, String> environment)
            throws IOException {
        File log = Files.createTempFile(root, "gateway", ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", before + "exec sh -c \"$RUN\"" + after)
                .directory(root.toFile())
                .redirectError(log);
        builder.environment().putAll(environment);
        builder.environment().put("RUN", entry("run"));
        builder.environment().put("EDGE_CONFIG", configuration.toString());
        return ServingProcess.start(builder, log);
    }

    /** Returns a command of deploy/balancer.toml. */
    private static String entry(String name) throws IOException {
        String file = Files.readString(ServingProcess.root().resolve("deploy/balancer.toml"));
        Matcher line = Pattern.compile("(?m)^" + name + " = \"([^\"]*)\"").matcher(file);
        assertThat(line.find()).isTrue();
        return line.group(1);
    }

    private static void writeJar(Path jar) throws IOException {
        Map<String, byte[]> entries = new LinkedHashMap<>();
        List<Path> libraries = new ArrayList<>();
        for (String location : ServingProcess.classPath().split(File.pathSeparator)) {
            Path path = Path.of(location);
            if (Files.isDirectory(path)) {
                addDirectory(path, entries);
            } else if (Files.exists(path)) {
                libraries.add(path);
            }
        }
        for (Path library : libraries) {
            addJar(library, entries);
        }
        Manifest manifest = new Manifest();
        manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
        manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, "ploverdale.Main");
        try (OutputStream file = Files.newOutputStream(jar);
                JarOutputStream out = new JarOutputStream(file, manifest)) {
            for (Map.Entry<String, byte[]> entry : entries.entrySet()) {
                out.putNextEntry(new JarEntry(entry.getKey()));
                out.write(entry.getValue());
            }
        }
    }

    private static void addDirectory(Path directory, Map<String, byte[]> entries) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                add(directory.relativize(file).toString(), Files.readAllBytes(file), entries);
            }
        }
    }

    private static void addJar(Path jar, Map<String, byte[]> entries) throws IOException {
        try (JarFile file = new JarFile(jar.toFile())) {
            for (Enumeration<JarEntry> all = file.entries(); all.hasMoreElements(); ) {
                JarEntry entry = all.nextElement();
                if (!entry.isDirectory()) {
                    try (InputStream in = file.getInputStream(entry)) {
                        add(entry.getName(), in.readAllBytes(), entries);
                    }
                }
            }
        }
    }

    /** Adds an entry unless its name is present; files of META-INF/services are concatenated. */
    private static void add(String name, byte[] content, Map<String, byte[]> entries) throws IOException {
        if (name.startsWith("META-INF/services/") && entries.containsKey(name)) {
            ByteArrayOutputStream both = new ByteArrayOutputStream();
            both.write(entries.get(name));
            both.write('\n');
            both.write(content);
            entries.put(name, both.toByteArray());
        } else if (!name.equals(JarFile.MANIFEST_NAME) && !name.endsWith("module-info.class")) {
            entries.putIfAbsent(name, content);
        }
    }
}
