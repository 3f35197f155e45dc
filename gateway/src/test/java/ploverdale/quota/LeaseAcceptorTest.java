package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests when an acceptor grants the lease of a partition, and to which process. */
class LeaseAcceptorTest {
    private static final LeaseDurations DURATIONS = new LeaseDurations(3_000, 2_000, 0.05);
    private static final long GRANTOR_TERM = DURATIONS.grantorTerm(3_000);
    private static final long STARTED_AT = 10_000;
    private static final long FIRST_GRANT_AT = STARTED_AT + GRANTOR_TERM;
    private static final Peer HOLDER = new Peer(1, 7);
    private static final Peer OTHER_GATEWAY = new Peer(2, 7);
    private static final Peer RESTARTED_HOLDER = new Peer(1, 8);

    private final LeaseAcceptor acceptor = new LeaseAcceptor(2, DURATIONS, STARTED_AT);

    @Test
    void grantsNothingUntilGrantsOfAnEarlierProcessHaveExpired() {
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT - 1, 0, HOLDER)).isFalse();
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT, 0, HOLDER)).isTrue();
    }

    @Test
    void grantsAPartitionToNoOtherHolderUntilTheGrantorTermHasEnded() {
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT, 0, HOLDER)).isTrue();
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT + GRANTOR_TERM - 1, 0, OTHER_GATEWAY))
                .isFalse();
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT + GRANTOR_TERM, 0, OTHER_GATEWAY))
                .isTrue();
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT + GRANTOR_TERM, 0, HOLDER)).isFalse();
    }

    @Test
    void aRenewalRestartsTheGrantorTerm() {
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT, 0, HOLDER)).isTrue();
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT + 1_000, 0, HOLDER)).isTrue();
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT + GRANTOR_TERM, 0, OTHER_GATEWAY))
                .isFalse();
    }

    @Test
    void refusesARestartedHolderWhileTheGrantToItsEarlierProcessIsValid() {
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT, 0, HOLDER)).isTrue();
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT + 1, 0, RESTARTED_HOLDER)).isFalse();
    }

    @Test
    void grantsDifferentPartitionsToDifferentHolders() {
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT, 0, HOLDER)).isTrue();
        assertThat(acceptor.tryGrant(FIRST_GRANT_AT, 1, OTHER_GATEWAY)).isTrue();
    }
}
