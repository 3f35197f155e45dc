package ploverdale.benchlink;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;
import org.junit.jupiter.api.Test;

/**
 * Replays the input of a recorded scenario and compares the replies byte for byte, to detect unintended changes of
 * decisions. {@link ScenarioRecorder} makes a new recording.
 */
class RecordedScenarioTest {
    private static final String RECORDING = "/benchlink/recorded-day.jsonl.gz";
    private static final int MIN_BATCHES = 500;

    @Test
    void repliesToRecordedInputAreUnchanged() throws IOException {
        List<String> input = new ArrayList<>();
        List<String> expected = new ArrayList<>();
        List<String> lines = recordedLines();
        for (int i = 0; i + 1 < lines.size(); i += 2) {
            input.add(lines.get(i));
            expected.add(lines.get(i + 1));
        }
        assertThat(input).hasSizeGreaterThan(MIN_BATCHES);
        assertThat(String.join("\n", expected))
                .contains("\"ROUTE\"", "\"BOUNCE\"", "\"TOUCH\"", "\"BROADCAST_TO\"", " silent: ");
        assertThat(replies(input)).isEqualTo(expected);
    }

    private static List<String> recordedLines() throws IOException {
        try (InputStream recording = new GZIPInputStream(RecordedScenarioTest.class.getResourceAsStream(RECORDING))) {
            return new String(recording.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        }
    }

    private static List<String> replies(List<String> input) throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        byte[] bytes = (String.join("\n", input) + "\n").getBytes(StandardCharsets.UTF_8);
        new BenchLink(new ByteArrayInputStream(bytes), output, null).run();
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }
}
