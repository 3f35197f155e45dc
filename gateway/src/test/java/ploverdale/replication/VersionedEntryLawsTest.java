package ploverdale.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * The merge of entries is commutative, associative and idempotent, so that replicas that received the same entries in
 * any order and any number of times are equal. Also covers the decisions that merged proofs lead to, and the
 * encoding.
 */
class VersionedEntryLawsTest {
    private static final byte[] NO_RESPONSE = {};

    @Provide
    Arbitrary<VersionedEntry> positions() {
        return Combinators.combine(
                        Arbitraries.longs().between(0, 5),
                        Arbitraries.integers().between(0, 2))
                .as(Position::new);
    }

    @Provide
    Arbitrary<VersionedEntry> writeOutcomes() {
        Arbitrary<ClaimId> claims = Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.longs().between(1, 2),
                        Arbitraries.integers().between(1, 2))
                .as(ClaimId::new);
        Arbitrary<byte[]> responses =
                Arbitraries.bytes().array(byte[].class).ofMinSize(0).ofMaxSize(3);
        return Combinators.combine(
                        Arbitraries.longs().between(0, 3),
                        Arbitraries.maps(claims, Arbitraries.of(1, 3, 5, 7).map(ClaimState::new))
                                .ofMinSize(1)
                                .ofMaxSize(2),
                        responses)
                .as(WriteOutcome::new);
    }

    private static void assertMergeLaws(VersionedEntry first, VersionedEntry second, VersionedEntry third) {
        assertThat(first.merge(second)).isEqualTo(second.merge(first));
        assertThat(first.merge(second).merge(third)).isEqualTo(first.merge(second.merge(third)));
        assertThat(first.merge(first)).isEqualTo(first);
        assertThat(first.merge(second).hash()).isEqualTo(second.merge(first).hash());
        ByteBuffer bytes = ByteBuffer.allocate(EntryCodec.MAX_BYTES);
        first.merge(second).writeTo(bytes);
        assertThat(bytes.position()).isEqualTo(first.merge(second).encodedLength());
        assertThat(EntryCodec.read(bytes.flip())).isEqualTo(first.merge(second));
    }

    @Property
    void positionsMergeInAnyOrder(
            @ForAll("positions") VersionedEntry first,
            @ForAll("positions") VersionedEntry second,
            @ForAll("positions") VersionedEntry third) {
        assertMergeLaws(first, second, third);
    }

    @Property
    void writeOutcomesMergeInAnyOrder(
            @ForAll("writeOutcomes") VersionedEntry first,
            @ForAll("writeOutcomes") VersionedEntry second,
            @ForAll("writeOutcomes") VersionedEntry third) {
        assertMergeLaws(first, second, third);
    }

    @Test
    void aProofEndsTheDoubtAndContradictingProofsCountAsExecuted() {
        ClaimId claim = new ClaimId(0, 1, 1);
        WriteOutcome inDoubt = WriteOutcome.of(5, claim, ClaimState.CLAIMED, NO_RESPONSE);
        WriteOutcome succeeded = WriteOutcome.of(5, claim, ClaimState.SUCCEEDED, new byte[] {1});
        WriteOutcome neverRan = WriteOutcome.of(5, claim, ClaimState.NEVER_RAN, NO_RESPONSE);
        assertThat(inDoubt.isInDoubt()).isTrue();
        assertThat(((WriteOutcome) inDoubt.merge(neverRan)).isFree()).isTrue();
        assertThat(((WriteOutcome) inDoubt.merge(succeeded)).hasSucceeded()).isTrue();
        WriteOutcome contradictory = (WriteOutcome) succeeded.merge(neverRan);
        assertThat(contradictory.isContradictory()).isTrue();
        assertThat(contradictory.isFree()).isFalse();
        assertThat(contradictory.hasSucceeded()).isTrue();
        WriteOutcome executedTwice = (WriteOutcome)
                succeeded.merge(WriteOutcome.of(5, new ClaimId(1, 1, 1), ClaimState.SUCCEEDED, NO_RESPONSE));
        assertThat(executedTwice.isContradictory())
                .as("executed under two claims")
                .isTrue();
    }

    @Test
    void aboveTheLimitClaimsThatNeverRanAreDroppedBeforeOneInDoubt() {
        WriteOutcome outcome = WriteOutcome.of(5, new ClaimId(0, 1, 0), ClaimState.CLAIMED, NO_RESPONSE);
        for (int number = 1; number < 20; number++) {
            outcome = (WriteOutcome) outcome.merge(new WriteOutcome(
                    5, Map.of(new ClaimId(1, 1, number), ClaimState.CLAIMED.merge(ClaimState.NEVER_RAN)), NO_RESPONSE));
        }
        assertThat(outcome.claims())
                .hasSizeLessThanOrEqualTo(WriteOutcome.MAX_CLAIMS)
                .containsKey(new ClaimId(0, 1, 0));
        assertThat(outcome.isInDoubt()).isTrue();
        assertThat(outcome.encodedLength()).isLessThanOrEqualTo(EntryCodec.MAX_BYTES);
    }

    @Test
    void entriesOfUnknownTypeAndTruncatedEntriesAreRejected() {
        assertThat(EntryCodec.read(ByteBuffer.wrap(new byte[] {9, 1, 2, 3}))).isNull();
        assertThat(EntryCodec.read(ByteBuffer.wrap(new byte[] {EntryCodec.POSITION_TYPE, 1, 2})))
                .isNull();
        assertThat(EntryCodec.read(
                        ByteBuffer.wrap(new byte[] {EntryCodec.WRITE_OUTCOME_TYPE, 0, 0, 0, 0, 0, 0, 0, 0, 5, 1})))
                .isNull();
    }
}
