package ploverdale.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.limits.ConnectionLimits.Eviction;
import ploverdale.limits.ConnectionLimits.EvictionReason;

/** Capacity and evictions with 64 descriptors, which allow 40 connections, 28 of them from clients. */
class ConnectionLimitsTest {
    private final ConnectionLimits<String> limits = new ConnectionLimits<>(64);

    private void addIdleClients(int count, long nowMs) {
        for (int i = 0; i < count; i++) {
            limits.onClientConnected("idle" + i, nowMs);
            limits.markStarted("idle" + i);
            limits.markIdle("idle" + i, nowMs);
        }
    }

    private void addAwaitingClients(int count) {
        for (int i = 0; i < count; i++) {
            limits.onClientConnected("awaiting" + i, 0);
            limits.markStarted("awaiting" + i);
        }
    }

    @Test
    void clientsLeaveTheServersShareFree() {
        addAwaitingClients(28);
        assertThat(limits.hasCapacityForClient()).isFalse();
        assertThat(limits.evictionForClient(10_000)).isNull();
        for (int i = 0; i < 12; i++) {
            assertThat(limits.hasCapacityForServer()).isTrue();
            limits.onServerConnecting();
        }
        assertThat(limits.hasCapacityForServer()).isFalse();
    }

    @Test
    void aPreStartupConnectionIsEvictedBeforeAnIdleClient() {
        addIdleClients(27, 0);
        limits.onClientConnected("preStartup", 50);
        assertThat(limits.evictionForClient(160))
                .isEqualTo(new Eviction<>("preStartup", EvictionReason.NO_STARTUP_MESSAGE, 110));
        // after 70 ms, the pre-startup connection may still send its startup message
        assertThat(limits.evictionForClient(120)).isEqualTo(new Eviction<>("idle0", EvictionReason.IDLE, 120));
    }

    @Test
    void aClientIsNotEvictedForCapacityWithinItsFirst100Ms() {
        addIdleClients(28, 1000);
        assertThat(limits.evictionForClient(1099)).isNull();
        assertThat(limits.evictionForServer(1100)).isEqualTo(new Eviction<>("idle0", EvictionReason.IDLE, 100));
    }

    @Test
    void preStartupConnectionsAreEvictedEarlyIfManyAndOtherwiseAfterTheirTimeLimit() {
        for (int i = 0; i < 9; i++) {
            limits.onClientConnected("preStartup" + i, i);
        }
        assertThat(limits.overdue(2199)).isNull();
        limits.onClientConnected("preStartup9", 200);
        assertThat(limits.overdue(200))
                .isEqualTo(new Eviction<>("preStartup0", EvictionReason.NO_STARTUP_MESSAGE, 200));
        limits.onClientClosing("preStartup0");
        assertThat(limits.overdue(300)).isNull();
        assertThat(limits.overdue(2201).reason()).isEqualTo(EvictionReason.NO_STARTUP_MESSAGE);
    }

    @Test
    void idleClientsAreEvictedSoonerTheMoreClientsThereAre() {
        addIdleClients(9, 0);
        assertThat(limits.overdue(60_000)).isNull();
        limits.onClientConnected("tenth", 0);
        limits.markStarted("tenth");
        assertThat(limits.overdue(2099)).isNull();
        assertThat(limits.overdue(2100)).isEqualTo(new Eviction<>("idle0", EvictionReason.IDLE, 2100));
        addAwaitingClients(3);
        assertThat(limits.overdue(99)).isNull();
        assertThat(limits.overdue(100)).isEqualTo(new Eviction<>("idle0", EvictionReason.IDLE, 100));
    }

    @Test
    void aClientWithARequestOrAnIncompleteMessageIsNotIdle() {
        addIdleClients(1, 0);
        limits.markAwaitingResponse("idle0");
        assertThat(limits.evictionForClient(5000)).isNull();
        limits.markIdle("idle0", 5000);
        limits.markIncomplete("idle0", 5100);
        limits.markIncomplete("idle0", 7000); // a further part of the same message
        assertThat(limits.evictionForClient(7000)).isNull();
        assertThat(limits.overdue(7300)).isEqualTo(new Eviction<>("idle0", EvictionReason.INCOMPLETE_MESSAGE, 2200));
        limits.clearIncomplete("idle0");
        assertThat(limits.overdue(7300)).isNull();
    }

    @Test
    void aDescriptorCountsUntilItIsReleased() {
        for (int i = 0; i < 48; i++) {
            assertThat(limits.mayOpenServerConnection()).isTrue();
            limits.onServerConnecting();
        }
        assertThat(limits.mayOpenServerConnection()).isFalse();
        limits.onServerClosing();
        assertThat(limits.mayOpenServerConnection()).isFalse();
        limits.onDescriptorReleased();
        assertThat(limits.mayOpenServerConnection()).isTrue();
    }

    @Test
    void fewerDescriptorsLowerTheMaximumOfClients() {
        ConnectionLimits<String> large = new ConnectionLimits<>(1024);
        assertThat(large.maxClients()).isEqualTo(627);
        large.setMaxDescriptors(64);
        assertThat(large.maxClients()).isEqualTo(28);
    }

    /** Regression test for clients that come again at once and keep all connections with input that nobody waits for. */
    @Test
    void aClientWhoseInputIsPausedMakesRoomForANewOneIfNoOtherCan() {
        addAwaitingClients(limits.maxClients());
        limits.markPaused("awaiting1", 0);
        limits.markPaused("awaiting0", 50);
        assertThat(limits.evictionForClient(90)).isNull();
        assertThat(limits.evictionForClient(200).client()).isEqualTo("awaiting1");
        assertThat(limits.evictionForClient(200).reason()).isEqualTo(ConnectionLimits.EvictionReason.PAUSED_INPUT);
        assertThat(limits.evictionForServer(200)).isNull();
        limits.markIdle("awaiting2", 100);
        assertThat(limits.evictionForClient(200).client()).isEqualTo("awaiting2");
    }

    @Test
    void aConnectionIsPausedSinceTheFirstCallUntilItIsResumedOrCloses() {
        addAwaitingClients(2);
        limits.markPaused("awaiting0", 10);
        limits.markPaused("awaiting1", 20);
        limits.markPaused("awaiting0", 30);
        assertThat(limits.longestPaused()).isEqualTo("awaiting0");
        limits.clearPaused("awaiting0");
        assertThat(limits.longestPaused()).isEqualTo("awaiting1");
        limits.onClientClosing("awaiting1");
        assertThat(limits.longestPaused()).isNull();
    }
}
