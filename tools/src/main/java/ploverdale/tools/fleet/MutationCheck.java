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
 * A gateway with one of its guards taken out, to show that a rig sees what the guard is for: one source file is compiled
 * with one piece of its text replaced, and its classes stand before those of the jar. Nothing in the gateway knows of this.
 */
public final class MutationCheck implements AutoCloseable {
    private static final String SOURCES = "gateway/src/main/java/ploverdale";

    private final Path classes;

    private MutationCheck(Path classes) {
        this.classes = classes;
    }

    /** The text must stand in the file exactly once, so that a guard that moved is noticed. */
    public static MutationCheck of(Launch launch, String file, String guard, String instead) throws IOException {
        String text = Files.readString(launch.root().resolve(SOURCES).resolve(file));
        int at = text.indexOf(guard);
        if (at < 0 || text.indexOf(guard, at + 1) >= 0) {
            throw new IOException(file + " holds this guard not exactly once: " + guard);
        }
        Path sources = Files.createTempDirectory("without-guard-sources");
        Path classes = Files.createTempDirectory("without-guard");
        try {
            Path source = sources.resolve(Path.of(file).getFileName());
            Files.writeString(source, text.replace(guard, instead));
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
                throw new IOException(file + " without its guard does not compile");
            }
        } finally {
            delete(sources);
        }
        return new MutationCheck(classes);
    }

    /** The classes without it, to stand before the others. */
    public Path classes() {
        return classes;
    }

    /** The same launch, but for the guard. */
    public Launch launch(Launch l) {
        return new Launch(l.root(), l.jar(), l.more(), l.others(), classes);
    }

    @Override
    public void close() throws IOException {
        delete(classes);
    }

    private static void delete(Path folder) throws IOException {
        List<Path> all;
        try (Stream<Path> walk = Files.walk(folder)) {
            all = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path p : all) {
            Files.delete(p);
        }
    }
}
