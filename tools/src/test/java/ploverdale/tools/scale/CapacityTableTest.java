package ploverdale.tools.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks that the table shows where a cost exceeds its bound, and draws no conclusion from a curve that failed its
 * check.
 */
class CapacityTableTest {
    private static List<String> rows(double msPerServer, double lastMsPerServer) {
        List<String> rows = new ArrayList<>(List.of(RouterScale.CSV_HEADER));
        for (int n : new int[] {100, 200, 400, 800, 1600}) {
            rows.add("serving,50," + n + "," + n * msPerServer + ",1,1,1,1,0");
        }
        rows.add("serving,50,3200," + 3200 * lastMsPerServer + ",1,1,1,1,0");
        return rows;
    }

    @Test
    void reportsTheSizeAtWhichACostExceedsItsBound() {
        assertThat(CapacityTable.of(rows(0.0101, 0.0101)).get(2)).endsWith("| 171.7 | 17 | breaks at 1,684 |");
    }

    @Test
    void reportsThatACostWithinItsBoundFits() {
        assertThat(CapacityTable.of(rows(0.0005, 0.0005)).get(2)).endsWith("| 8.500 | 17 | fits |");
    }

    @Test
    void reportsThatACurveThatFailsItsCheckIsNotToBeUsed() {
        assertThat(CapacityTable.of(rows(0.01, 0.02)).get(2))
                .contains("| -50.0 % |")
                .endsWith("not to be used |");
    }

    @Test
    void malformedRowIsQuotedInTheError() {
        assertThatThrownBy(() -> CapacityTable.of(List.of("serving,50"))).hasMessageContaining("serving,50");
    }
}
