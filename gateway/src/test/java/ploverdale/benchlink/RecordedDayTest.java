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

/** Decisions stay byte for byte what they were on a recorded day; {@link RecordedDay} records it anew. */
class RecordedDayTest {
    private static final String DAY = "/benchlink/recorded-day.jsonl.gz";
    private static final int LEAST_BATCHES = 500;

    @Test
    void repliesToARecordedDayAreUnchanged() throws IOException {
        List<String> input = new ArrayList<>();
        List<String> recorded = new ArrayList<>();
        List<String> lines = recordedLines();
        for (int i = 0; i + 1 < lines.size(); i += 2) {
            input.add(lines.get(i));
            recorded.add(lines.get(i + 1));
        }
        assertThat(input).hasSizeGreaterThan(LEAST_BATCHES);
        assertThat(String.join("\n", recorded))
                .contains("\"ROUTE\"", "\"BOUNCE\"", "\"TOUCH\"", "\"BROADCAST_TO\"", " silent: ");
        assertThat(replies(input)).isEqualTo(recorded);
    }

    private static List<String> recordedLines() throws IOException {
        try (InputStream day = new GZIPInputStream(RecordedDayTest.class.getResourceAsStream(DAY))) {
            return new String(day.readAllBytes(), StandardCharsets.UTF_8)
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
