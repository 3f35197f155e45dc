package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.model.GroupId;
import ploverdale.model.ServerId;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ServerState;

/**
 * Which time without answers is attributed to this gateway or to a common cause rather than to a server. Times are
 * ticks.
 */
class LocalHealthTest {
    private static final long START = 1_000_000;
    /** Time limit of a health check. */
    private static final long CHECK_TIMEOUT = 2_500;

    private final LocalHealth health = new LocalHealth();
    private final List<ServerState> servers = new ArrayList<>();

    /** Adds confirmed servers, of which the first {@code checksMissed} have just missed a health check. */
    private void addServers(int count, int checksMissed) {
        ReplicaGroup group = new ReplicaGroup(new GroupId(1));
        for (int i = 0; i < count; i++) {
            ServerState server = new ServerState(new ServerId("s" + i), group, 8);
            server.liveness().recordCheckAnswered(START - 10_000);
            if (i < checksMissed) {
                server.liveness().recordCheckMissed(START);
            }
            servers.add(server);
        }
    }

    /**
     * Records that the first server has not answered for the duration of a health check; returns whether a common cause
     * explains it.
     */
    private boolean hasCommonCause(long now) {
        return health.detectCommonCause(now, servers.get(0), now - CHECK_TIMEOUT, servers);
    }

    @Test
    void aCheckThatFellIntoADelayOfThisProcessIsInconclusive() {
        health.processDelayed(START + 100, START + 3_000);
        assertThat(health.inconclusive(START, START + 3_100)).isTrue();
        assertThat(health.inconclusive(START - 2_400, START + 100)).isFalse();
    }

    @Test
    void aShortDelayLeavesALongWaitConclusive() {
        health.processDelayed(START, START + 500);
        assertThat(health.inconclusive(START, START + CHECK_TIMEOUT)).isFalse();
    }

    @Test
    void aCheckRightAfterADelayIsInconclusiveForAsLongAsTheDelayLasted() {
        health.processDelayed(START, START + 3_000);
        assertThat(health.inconclusive(START + 3_000, START + 5_500)).isTrue();
        assertThat(health.inconclusive(START + 5_500, START + 8_000)).isFalse();
    }

    @Test
    void overlappingReportsOfOneDelayCountOnce() {
        health.processDelayed(START, START + 3_000);
        health.processDelayed(START, START + 3_050);
        assertThat(health.explainedIn(START - 100, START + 9_000)).isEqualTo(3_050);
    }

    @Test
    void moreThanThreeQuartersOfTheOthersUnresponsiveIsACommonCause() {
        addServers(16, 13);
        assertThat(hasCommonCause(START + 10)).isTrue();
        assertThat(health.explainedIn(START - CHECK_TIMEOUT, START + 10)).isEqualTo(CHECK_TIMEOUT);
    }

    @Test
    void twoThirdsUnresponsiveIsNoCommonCause() {
        addServers(15, 10);
        assertThat(hasCommonCause(START + 10)).isFalse();
    }

    @Test
    void allOfASmallFleetUnresponsiveIsNoCommonCause() {
        addServers(4, 4);
        assertThat(hasCommonCause(START + 10)).isFalse();
    }

    @Test
    void aCommonCauseIsAssumedForALimitedTimeAndNotAgainWhileServersStayUnresponsive() {
        addServers(16, 16);
        for (long at = START; at < START + 100_000; at += 1_000) {
            long now = at;
            servers.forEach(server -> server.liveness().recordCheckMissed(now));
            assertThat(hasCommonCause(now))
                    .as("%d after the start", now - START)
                    .isEqualTo(now - START < LocalHealth.MAX_COMMON_CAUSE_DURATION);
        }
    }

    @Test
    void afterMostHaveAnsweredACommonCauseIsAssumedAgain() {
        addServers(16, 16);
        assertThat(hasCommonCause(START)).isTrue();
        assertThat(hasCommonCause(START + 2 * LocalHealth.MAX_COMMON_CAUSE_DURATION))
                .as("the time of this episode is used up")
                .isFalse();
        servers.forEach(server -> server.liveness().recordCheckAnswered(START + 11_000));
        health.observe(START + 11_000, servers);
        servers.forEach(server -> server.liveness().recordCheckMissed(START + 15_000));
        assertThat(hasCommonCause(START + 15_000)).isTrue();
    }
}
