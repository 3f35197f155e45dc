package ploverdale.tools.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import ploverdale.tools.fleet.GatewayProcess.Launch;

/**
 * A mutation of the gateway, which shows that a test rig detects the absence of a check: one source file is compiled with
 * one piece of its text replaced, and the classes take precedence over those of the jar. The gateway has no code for this.
 */
public final class MutationCheck implements AutoCloseable {
    private static final String SOURCES = "gateway/src/main/java/ploverdale";

    private final Path classes;

    private MutationCheck(Path classes) {
        this.classes = classes;
    }

    /**
     * Compiles a source file with a piece of its text replaced.
     *
     * @param file the path below the gateway's root package
     * @param original the text to replace; it must occur in the file exactly once, so that a change of the code is noticed
     * @throws IOException if it does not, or if the mutated file does not compile
     */
    public static MutationCheck of(Launch launch, String file, String original, String replacement) throws IOException {
        String text = Files.readString(launch.root().resolve(SOURCES).resolve(file));
        int at = text.indexOf(original);
        if (at < 0 || text.indexOf(original, at + 1) >= 0) {
            throw new IOException(file + " does not contain this text exactly once: " + original);
        }
        Path sources = Files.createTempDirectory("mutation-sources");
        Path classes = Files.createTempDirectory("mutation-classes");
        try {
            Path source = sources.resolve(Path.of(file).getFileName());
            Files.writeString(source, text.replace(original, replacement));
            JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
            if (compiler == null
                    || compiler.run(
                                    null,
                                    null,
                                    null,
                                    "-nowarn",
                                    "-cp",
                                    launch.jar().toString(),
                                    "-d",
                                    classes.toString(),
                                    source.toString())
                            != 0) {
                throw new IOException(file + " does not compile after the mutation");
            }
        } finally {
            delete(sources);
        }
        return new MutationCheck(classes);
    }

    /** Returns the directory of the mutated classes, which belongs before the jar on the class path. */
    public Path classes() {
        return classes;
    }

    /** Returns the given launch with the mutated classes. */
    public Launch launch(Launch original) {
        return new Launch(
                original.root(), original.jar(), original.serveArguments(), original.argumentOverrides(), classes);
    }

    /** Deletes the mutated classes. */
    @Override
    public void close() throws IOException {
        delete(classes);
    }

    private static void delete(Path directory) throws IOException {
        List<Path> deepestFirst;
        try (Stream<Path> walk = Files.walk(directory)) {
            deepestFirst = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : deepestFirst) {
            Files.delete(path);
        }
    }
}
