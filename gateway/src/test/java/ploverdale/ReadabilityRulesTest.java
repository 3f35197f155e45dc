package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the list of packages to which config/checkstyle-strict.xml applies. Checkstyle ignores a pattern that matches
 * no file, so without this test the rules would silently no longer apply to a package that was renamed or is misspelt
 * in the list.
 */
class ReadabilityRulesTest {
    private static final Path PROJECT_FILE = Path.of("../pom.xml");
    private static final Pattern PACKAGE_LIST = Pattern.compile("(?s)<strict\\.packages>(.*?)</strict\\.packages>");
    private static final Pattern PACKAGE_PATTERN = Pattern.compile("(ploverdale(?:/[a-z]+)*)/\\*\\.java");
    private static final List<Path> MODULES = List.of(Path.of("../gateway"), Path.of("../tools"));

    @Test
    void eachListedPatternMatchesAPackageWithSources() throws IOException {
        List<String> patterns = listedPatterns();
        assertThat(patterns).isNotEmpty().doesNotHaveDuplicates();
        for (String pattern : patterns) {
            Matcher matcher = PACKAGE_PATTERN.matcher(pattern);
            assertThat(matcher.matches()).as(pattern).isTrue();
            assertThat(hasSources(matcher.group(1))).as(pattern).isTrue();
        }
    }

    private static List<String> listedPatterns() throws IOException {
        Matcher matcher = PACKAGE_LIST.matcher(Files.readString(PROJECT_FILE));
        assertThat(matcher.find()).isTrue();
        return Stream.of(matcher.group(1).split(",")).map(String::strip).toList();
    }

    private static boolean hasSources(String packageDirectory) throws IOException {
        for (Path module : MODULES) {
            Path directory = module.resolve("src/main/java").resolve(packageDirectory);
            if (Files.isDirectory(directory) && containsJavaFile(directory)) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsJavaFile(Path directory) throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, "*.java")) {
            return files.iterator().hasNext();
        }
    }
}
