package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The tests that the build skips as known failures, in both modules, are exactly those that KNOWN-RED.txt lists, and at
 * most three.
 */
class KnownRedTest {
    private static final Path LIST = Path.of("../KNOWN-RED.txt");
    private static final List<Path> TESTS =
            List.of(Path.of("../gateway/src/test/java"), Path.of("../tools/src/test/java"));
    private static final String TAG = "known" + "-red"; // in parts, so that this file has none
    private static final int MAX_KNOWN_FAILURES = 3;

    @Test
    void exactlyListedTestsAreSkipped() throws IOException {
        List<String> listed = Files.readAllLines(LIST).stream()
                .filter(line -> !line.isBlank())
                .map(line -> line.split(":")[0])
                .toList();
        List<String> tagged =
                TESTS.stream().flatMap(KnownRedTest::taggedClasses).toList();
        assertThat(listed).hasSizeLessThanOrEqualTo(MAX_KNOWN_FAILURES);
        assertThat(tagged).containsExactlyInAnyOrderElementsOf(listed);
    }

    private static Stream<String> taggedClasses(Path sources) {
        assertThat(sources).isDirectory();
        try (Stream<Path> files = Files.walk(sources)) {
            return files
                    .filter(file -> file.toString().endsWith(".java") && isTagged(file))
                    .map(file -> className(sources, file))
                    .toList()
                    .stream();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean isTagged(Path file) {
        try {
            return Files.readString(file).contains(TAG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String className(Path sources, Path file) {
        String path = sources.relativize(file).toString();
        return path.substring(0, path.length() - ".java".length()).replace('/', '.');
    }
}
