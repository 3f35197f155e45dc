package ploverdale.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.limits.ConnectionLimits.Eviction;
import ploverdale.limits.ConnectionLimits.Why;

/** Who holds descriptors and who makes way; 64 of them leave 40 for connections, 28 of these for clients. */
class ConnectionLimitsTest {
    private final ConnectionLimits<String> limits = new ConnectionLimits<>(64);

    private void idleOnes(int n, long now) {
        for (int i = 0; i < n; i++) {
            limits.came("idle" + i, now);
            limits.greeted("idle" + i);
            limits.idle("idle" + i, now);
        }
    }

    private void askingOnes(int n) {
        for (int i = 0; i < n; i++) {
            limits.came("asking" + i, 0);
            limits.greeted("asking" + i);
        }
    }

    @Test
    void clientsNeverTakeWhatServersNeed() {
        askingOnes(28);
        assertThat(limits.clientFits()).isFalse();
        assertThat(limits.wayForClient(10_000)).isNull();
        for (int i = 0; i < 12; i++) {
            assertThat(limits.serverFits()).isTrue();
            limits.opened();
        }
        assertThat(limits.serverFits()).isFalse();
    }

    @Test
    void aStrangerMakesWayBeforeAnyoneWhoHasGreeted() {
        idleOnes(27, 0);
        limits.came("stranger", 50);
        assertThat(limits.wayForClient(160)).isEqualTo(new Eviction<>("stranger", Why.NO_GREETING, 110));
        assertThat(limits.wayForClient(120)).isEqualTo(new Eviction<>("idle0", Why.IDLE, 120)); // it may greet yet
    }

    @Test
    void whoHasJustBeenLetInIsNotSentAwayAgain() {
        idleOnes(28, 1000);
        assertThat(limits.wayForClient(1099)).isNull();
        assertThat(limits.wayForServer(1100)).isEqualTo(new Eviction<>("idle0", Why.IDLE, 100));
    }

    @Test
    void strangersBeyondTheirPartGoSoonAndOthersAfterTheirTime() {
        for (int i = 0; i < 9; i++) {
            limits.came("s" + i, i);
        }
        assertThat(limits.overdue(2199)).isNull();
        limits.came("s9", 200);
        assertThat(limits.overdue(200)).isEqualTo(new Eviction<>("s0", Why.NO_GREETING, 200));
        limits.left("s0");
        assertThat(limits.overdue(300)).isNull();
        assertThat(limits.overdue(2201).why()).isEqualTo(Why.NO_GREETING);
    }

    @Test
    void idleOnesStayWhereFewAreAndGoSoonerTheMoreThereAre() {
        idleOnes(9, 0);
        assertThat(limits.overdue(60_000)).isNull();
        limits.came("tenth", 0);
        limits.greeted("tenth");
        assertThat(limits.overdue(2099)).isNull();
        assertThat(limits.overdue(2100)).isEqualTo(new Eviction<>("idle0", Why.IDLE, 2100));
        askingOnes(3);
        assertThat(limits.overdue(99)).isNull();
        assertThat(limits.overdue(100)).isEqualTo(new Eviction<>("idle0", Why.IDLE, 100));
    }

    @Test
    void whatAsksOrIsUnfinishedIsNotIdle() {
        idleOnes(1, 0);
        limits.asks("idle0");
        assertThat(limits.wayForClient(5000)).isNull();
        limits.idle("idle0", 5000);
        limits.begun("idle0", 5100);
        limits.begun("idle0", 7000); // more of the same message
        assertThat(limits.wayForClient(7000)).isNull();
        assertThat(limits.overdue(7300)).isEqualTo(new Eviction<>("idle0", Why.UNFINISHED, 2200));
        limits.whole("idle0");
        assertThat(limits.overdue(7300)).isNull();
    }

    @Test
    void aDescriptorCountsUntilItIsClosed() {
        for (int i = 0; i < 48; i++) {
            assertThat(limits.mayOpen()).isTrue();
            limits.opened();
        }
        assertThat(limits.mayOpen()).isFalse();
        limits.released();
        assertThat(limits.mayOpen()).isFalse();
        limits.closed();
        assertThat(limits.mayOpen()).isTrue();
    }

    @Test
    void fewerDescriptorsHoldFromThenOn() {
        ConnectionLimits<String> large = new ConnectionLimits<>(1024);
        assertThat(large.clientsMost()).isEqualTo(627);
        large.renew(64);
        assertThat(large.clientsMost()).isEqualTo(28);
    }
}
