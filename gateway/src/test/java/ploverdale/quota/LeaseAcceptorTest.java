package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** To whom an acceptor grants the lease of a partition. */
class LeaseAcceptorTest {
    private static final LeaseDurations DURATIONS = new LeaseDurations(3_000, 2_000, 0.05);
    private static final long TERM = DURATIONS.grantorTerm(3_000);
    private static final long START = 10_000;
    private static final long READY = START + TERM;
    private static final Peer HOLDER = new Peer(1, 7);
    private static final Peer OTHER = new Peer(2, 7);
    private static final Peer HOLDER_RESTARTED = new Peer(1, 8);

    private final LeaseAcceptor acceptor = new LeaseAcceptor(2, DURATIONS, START);

    @Test
    void abstainsUntilGrantsOfAnEarlierProcessHaveExpired() {
        assertThat(acceptor.tryGrant(READY - 1, 0, HOLDER)).isFalse();
        assertThat(acceptor.tryGrant(READY, 0, HOLDER)).isTrue();
    }

    @Test
    void grantsAPartitionToOneHolderUntilTheGrantorTermIsOver() {
        assertThat(acceptor.tryGrant(READY, 0, HOLDER)).isTrue();
        assertThat(acceptor.tryGrant(READY + TERM - 1, 0, OTHER)).isFalse();
        assertThat(acceptor.tryGrant(READY + TERM, 0, OTHER)).isTrue();
        assertThat(acceptor.tryGrant(READY + TERM, 0, HOLDER)).isFalse();
    }

    @Test
    void aRenewalStartsTheTermAnew() {
        assertThat(acceptor.tryGrant(READY, 0, HOLDER)).isTrue();
        assertThat(acceptor.tryGrant(READY + 1_000, 0, HOLDER)).isTrue();
        assertThat(acceptor.tryGrant(READY + TERM, 0, OTHER)).isFalse();
    }

    @Test
    void aRestartedHolderIsAnotherOne() {
        assertThat(acceptor.tryGrant(READY, 0, HOLDER)).isTrue();
        assertThat(acceptor.tryGrant(READY + 1, 0, HOLDER_RESTARTED)).isFalse();
    }

    @Test
    void partitionsAreIndependent() {
        assertThat(acceptor.tryGrant(READY, 0, HOLDER)).isTrue();
        assertThat(acceptor.tryGrant(READY, 1, OTHER)).isTrue();
    }
}
