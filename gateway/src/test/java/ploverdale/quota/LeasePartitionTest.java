package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.quota.LeasePartition.State;

/** The state of a lease: each transition of the table of {@link LeasePartition.State}, and what must not cause one. */
class LeasePartitionTest {
    private static final LeaseDurations DURATIONS = new LeaseDurations(3_000, 2_000, 0.05);
    private static final long MAX_HOLD_TIME = 500;
    private static final long QUARANTINE = DURATIONS.grantorTerm(2_000) + DURATIONS.grantorTerm(MAX_HOLD_TIME);
    private static final int MAJORITY = 2;
    private static final long START = 10_000;
    private static final Peer BORROWER = new Peer(4, 7);

    private final LeasePartition partition = new LeasePartition(0, DURATIONS, MAX_HOLD_TIME);
    private int lastRound;

    /** A round that a majority grants at once. */
    private void renewAt(long now) {
        partition.startRound(now, ++lastRound);
        partition.onGrant(now, lastRound, 0, MAJORITY);
        partition.onGrant(now, lastRound, 1, MAJORITY);
    }

    /** Renews until the quarantine is over; returns that time. */
    private long serve() {
        long end = START + QUARANTINE;
        for (long now = START; now < end; now += 1_000) {
            renewAt(now);
        }
        return end;
    }

    @Test
    void isUnleasedUntilAMajorityOfDistinctAcceptorsGrantsTheSameRound() {
        partition.startRound(START, 1);
        partition.onGrant(START, 1, 0, MAJORITY);
        partition.onGrant(START, 1, 0, MAJORITY);
        assertThat(partition.state(START)).isEqualTo(State.UNLEASED);
        partition.startRound(START + 1, 2);
        partition.onGrant(START + 1, 1, 1, MAJORITY);
        partition.onGrant(START + 1, 2, 1, MAJORITY);
        assertThat(partition.state(START + 1)).isEqualTo(State.UNLEASED);
        partition.onGrant(START + 1, 2, 2, MAJORITY);
        assertThat(partition.state(START + 1)).isEqualTo(State.QUARANTINED);
    }

    @Test
    void expiresATermAfterTheStartOfTheRoundHoweverLateTheGrantsCome() {
        partition.startRound(START, 1);
        partition.onGrant(START + 2_000, 1, 0, MAJORITY);
        partition.onGrant(START + 2_000, 1, 1, MAJORITY);
        assertThat(partition.state(START + 2_999)).isEqualTo(State.QUARANTINED);
        assertThat(partition.state(START + 3_000)).isEqualTo(State.UNLEASED);
    }

    @Test
    void grantsThatComeAfterTheTermDoNotCount() {
        partition.startRound(START, 1);
        partition.onGrant(START + 3_000, 1, 0, MAJORITY);
        partition.onGrant(START + 3_000, 1, 1, MAJORITY);
        assertThat(partition.state(START + 3_000)).isEqualTo(State.UNLEASED);
    }

    @Test
    void servesWhenTheQuarantineIsOverAndARenewalDoesNotRestartIt() {
        long end = serve();
        assertThat(partition.state(end - 1)).isEqualTo(State.QUARANTINED);
        assertThat(partition.state(end)).isEqualTo(State.SERVING);
        renewAt(end);
        assertThat(partition.state(end)).isEqualTo(State.SERVING);
    }

    @Test
    void aLeaseThatHasExpiredStartsWithAQuarantineAgain() {
        long expiry = serve() + 3_000;
        assertThat(partition.state(expiry)).isEqualTo(State.UNLEASED);
        renewAt(expiry);
        assertThat(partition.state(expiry)).isEqualTo(State.QUARANTINED);
    }

    @Test
    void unitsOfASubLeaseAreOutstandingUntilTheBorrowerCanNoLongerUseThem() {
        long now = serve();
        partition.grantSubLease(now, BORROWER, 1, new int[] {6});
        assertThat(partition.outstandingUnits(now + QUARANTINE - 1, 0)).isEqualTo(6);
        assertThat(partition.outstandingUnits(now + QUARANTINE, 0)).isZero();
    }

    @Test
    void unitsThatARenewalTakesBackStayOutstandingUntilTheirFormerEnd() {
        long now = serve();
        partition.grantSubLease(now, BORROWER, 1, new int[] {6});
        SubLease subLease = partition.findSubLease(now, BORROWER, 1).orElseThrow();
        partition.renewSubLease(now + 1_000, subLease, new int[] {2});
        assertThat(partition.outstandingUnits(now + QUARANTINE - 1, 0)).isEqualTo(6);
        assertThat(partition.outstandingUnits(now + QUARANTINE, 0)).isEqualTo(2);
        assertThat(partition.outstandingUnits(now + QUARANTINE + 1_000, 0)).isZero();
    }

    @Test
    void aReturnOnlyEverLowersWhatIsOutstanding() {
        long now = serve();
        partition.grantSubLease(now, BORROWER, 1, new int[] {6});
        SubLease subLease = partition.findSubLease(now, BORROWER, 1).orElseThrow();
        subLease.reduceTo(0, 4);
        subLease.reduceTo(0, 5);
        assertThat(partition.outstandingUnits(now, 0)).isEqualTo(4);
    }

    @Test
    void aLaterProcessOfTheBorrowerDoesNotFindTheSubLeaseOfAnEarlierOne() {
        long now = serve();
        partition.grantSubLease(now, BORROWER, 1, new int[] {6});
        assertThat(partition.findSubLease(now, new Peer(BORROWER.gateway(), BORROWER.epoch() + 1), 1))
                .isEmpty();
    }
}
