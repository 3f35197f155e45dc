package ploverdale.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** The check of a fleet's settings prints these settings; the spelling is fixed. */
class ReplicationSettingsTest {
    @Test
    void printsItsFieldsInTheSpellingOfTheSettingsCheck() {
        ReplicationSettings settings =
                new ReplicationSettings(3, true, 200_000, 600, 80_000, true, Set.of("put"), 1000, 400_000, 500);
        assertThat(settings)
                .hasToString("ReplicationSettings[copies=3, sessions=true, sessionsFor=200000, askWithin=600,"
                        + " submitsFor=80000, retriesMarked=true, waits=[put], waitWithin=1000, most=400000,"
                        + " clocksApart=500]");
    }
}
