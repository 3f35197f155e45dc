package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.quota.LeasePartition.State;

/**
 * Tests the transitions of {@link LeasePartition.State}, events that must not cause a transition, and sub-leases of
 * units.
 */
class LeasePartitionTest {
    private static final LeaseDurations DURATIONS = new LeaseDurations(3_000, 2_000, 0.05);
    private static final long MAX_HOLD_TIME = 500;
    private static final long QUARANTINE = DURATIONS.grantorTerm(2_000) + DURATIONS.grantorTerm(MAX_HOLD_TIME);
    private static final int MAJORITY = 2;
    private static final long STARTED_AT = 10_000;
    private static final Peer BORROWER = new Peer(4, 7);

    private final LeasePartition partition = new LeasePartition(0, DURATIONS, MAX_HOLD_TIME);
    private int lastRound;

    /** Starts a round and lets a majority of the acceptors grant it at once. */
    private void renewAt(long now) {
        partition.startRound(now, ++lastRound);
        partition.onGrant(now, lastRound, 0, MAJORITY);
        partition.onGrant(now, lastRound, 1, MAJORITY);
    }

    /** Renews the lease until the quarantine has ended; returns that time. */
    private long renewUntilServing() {
        long quarantineEnd = STARTED_AT + QUARANTINE;
        for (long now = STARTED_AT; now < quarantineEnd; now += 1_000) {
            renewAt(now);
        }
        return quarantineEnd;
    }

    @Test
    void isUnleasedUntilAMajorityOfDistinctAcceptorsGrantsTheSameRound() {
        partition.startRound(STARTED_AT, 1);
        partition.onGrant(STARTED_AT, 1, 0, MAJORITY);
        partition.onGrant(STARTED_AT, 1, 0, MAJORITY);
        assertThat(partition.state(STARTED_AT)).isEqualTo(State.UNLEASED);
        partition.startRound(STARTED_AT + 1, 2);
        partition.onGrant(STARTED_AT + 1, 1, 1, MAJORITY);
        partition.onGrant(STARTED_AT + 1, 2, 1, MAJORITY);
        assertThat(partition.state(STARTED_AT + 1)).isEqualTo(State.UNLEASED);
        partition.onGrant(STARTED_AT + 1, 2, 2, MAJORITY);
        assertThat(partition.state(STARTED_AT + 1)).isEqualTo(State.QUARANTINED);
    }

    @Test
    void expiresOneTermAfterTheStartOfTheRoundEvenIfGrantsArriveLate() {
        partition.startRound(STARTED_AT, 1);
        partition.onGrant(STARTED_AT + 2_000, 1, 0, MAJORITY);
        partition.onGrant(STARTED_AT + 2_000, 1, 1, MAJORITY);
        assertThat(partition.state(STARTED_AT + 2_999)).isEqualTo(State.QUARANTINED);
        assertThat(partition.state(STARTED_AT + 3_000)).isEqualTo(State.UNLEASED);
    }

    @Test
    void grantsThatArriveAfterTheTermAreIgnored() {
        partition.startRound(STARTED_AT, 1);
        partition.onGrant(STARTED_AT + 3_000, 1, 0, MAJORITY);
        partition.onGrant(STARTED_AT + 3_000, 1, 1, MAJORITY);
        assertThat(partition.state(STARTED_AT + 3_000)).isEqualTo(State.UNLEASED);
    }

    @Test
    void servesAfterTheQuarantineWhichARenewalDoesNotRestart() {
        long quarantineEnd = renewUntilServing();
        assertThat(partition.state(quarantineEnd - 1)).isEqualTo(State.QUARANTINED);
        assertThat(partition.state(quarantineEnd)).isEqualTo(State.SERVING);
        renewAt(quarantineEnd);
        assertThat(partition.state(quarantineEnd)).isEqualTo(State.SERVING);
    }

    @Test
    void aLeaseRegainedAfterExpiryStartsWithAQuarantine() {
        long expiry = renewUntilServing() + 3_000;
        assertThat(partition.state(expiry)).isEqualTo(State.UNLEASED);
        renewAt(expiry);
        assertThat(partition.state(expiry)).isEqualTo(State.QUARANTINED);
    }

    @Test
    void unitsOfASubLeaseAreOutstandingUntilTheQuarantineHasEnded() {
        long now = renewUntilServing();
        partition.grantSubLease(now, BORROWER, 1, new int[] {6});
        assertThat(partition.outstandingUnits(now + QUARANTINE - 1, 0)).isEqualTo(6);
        assertThat(partition.outstandingUnits(now + QUARANTINE, 0)).isZero();
    }

    @Test
    void unitsWithdrawnByARenewalStayOutstandingUntilTheFormerEnd() {
        long now = renewUntilServing();
        partition.grantSubLease(now, BORROWER, 1, new int[] {6});
        SubLease subLease = partition.findSubLease(now, BORROWER, 1).orElseThrow();
        partition.renewSubLease(now + 1_000, subLease, new int[] {2});
        assertThat(partition.outstandingUnits(now + QUARANTINE - 1, 0)).isEqualTo(6);
        assertThat(partition.outstandingUnits(now + QUARANTINE, 0)).isEqualTo(2);
        assertThat(partition.outstandingUnits(now + QUARANTINE + 1_000, 0)).isZero();
    }

    @Test
    void returningUnitsNeverRaisesTheOutstandingUnits() {
        long now = renewUntilServing();
        partition.grantSubLease(now, BORROWER, 1, new int[] {6});
        SubLease subLease = partition.findSubLease(now, BORROWER, 1).orElseThrow();
        subLease.reduceTo(0, 4);
        subLease.reduceTo(0, 5);
        assertThat(partition.outstandingUnits(now, 0)).isEqualTo(4);
    }

    @Test
    void aSubLeaseIsNotFoundForALaterProcessOfTheBorrower() {
        long now = renewUntilServing();
        partition.grantSubLease(now, BORROWER, 1, new int[] {6});
        assertThat(partition.findSubLease(now, new Peer(BORROWER.gateway(), BORROWER.epoch() + 1), 1))
                .isEmpty();
    }
}
