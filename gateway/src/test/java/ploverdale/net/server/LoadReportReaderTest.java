package ploverdale.net.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import ploverdale.clock.Clock;
import ploverdale.clock.ServerClock;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;
import ploverdale.settings.GatewaySettings;
import ploverdale.settings.JsonFields;

/** What is learned of the servers' clock from the answers of a primary. */
class LoadReportReaderTest {
    private static final ServerId PRIMARY = new ServerId("s1");
    private static final int ANSWERS = 10;
    private static final long COMMITTED_MS_AGO = 2_000;

    private final ServerClock clock = new ServerClock(line -> {}, Clock.system());
    private final LoadReportReader reader =
            new LoadReportReader(new GatewaySettings(1, new JsonFields("settings", Map.of())), clock);

    private LoadReport answer(boolean mayBeRepeat) {
        long committedAtMs = Clock.system().wallMs() - COMMITTED_MS_AGO;
        Map<String, String> parameters = Map.of("rank", "source", "as_of", Long.toString(committedAtMs));
        return reader.roleAndPosition(PRIMARY, parameters, clock.now(), mayBeRepeat);
    }

    /** Regression test for a clock in doubt after answers to repeats, whose position is the commit of an earlier run. */
    @Test
    void theCommitOfAnEarlierRunIsNotTakenForThePrimarysPresentTime() {
        for (int i = 0; i < ANSWERS; i++) {
            LoadReport report = answer(true);
            assertThat(report.role()).isEqualTo(Role.PRIMARY);
            assertThat(report.position()).isNotEqualTo(LoadReport.UNKNOWN_TIME);
        }
        assertThat(clock.isKnown()).isTrue();
    }

    @Test
    void aPrimaryWhoseClockIsBehindPutsTheOffsetInDoubt() {
        for (int i = 0; i < ANSWERS; i++) {
            answer(false);
        }
        assertThat(clock.isKnown()).isFalse();
    }
}
