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
 * The list of packages that keep config/checkstyle-strict.xml. Checkstyle passes over a pattern that matches nothing, so a
 * package that is renamed or misspelt would leave the rules unnoticed.
 */
class ReadabilityRulesTest {
    private static final Path PROJECT = Path.of("../pom.xml");
    private static final Pattern LIST = Pattern.compile("(?s)<strict\\.packages>(.*?)</strict\\.packages>");
    private static final Pattern ONE_PACKAGE = Pattern.compile("(ploverdale(?:/[a-z]+)*)/\\*\\.java");
    private static final List<Path> MODULES = List.of(Path.of("../gateway"), Path.of("../tools"));

    @Test
    void eachListedPatternIsAPackageWithSources() throws IOException {
        List<String> patterns = listedPatterns();
        assertThat(patterns).isNotEmpty().doesNotHaveDuplicates();
        for (String pattern : patterns) {
            Matcher matcher = ONE_PACKAGE.matcher(pattern);
            assertThat(matcher.matches()).as(pattern).isTrue();
            assertThat(hasSources(matcher.group(1))).as(pattern).isTrue();
        }
    }

    private static List<String> listedPatterns() throws IOException {
        Matcher matcher = LIST.matcher(Files.readString(PROJECT));
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
