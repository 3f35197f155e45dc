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
    private static final byte[] NO_ANSWER = {};

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
        Arbitrary<byte[]> answers =
                Arbitraries.bytes().array(byte[].class).ofMinSize(0).ofMaxSize(3);
        return Combinators.combine(
                        Arbitraries.longs().between(0, 3),
                        Arbitraries.maps(claims, Arbitraries.of(1, 3, 5, 7).map(ClaimState::new))
                                .ofMinSize(1)
                                .ofMaxSize(2),
                        answers)
                .as(WriteOutcome::new);
    }

    private static void laws(VersionedEntry a, VersionedEntry b, VersionedEntry c) {
        assertThat(a.merge(b)).isEqualTo(b.merge(a));
        assertThat(a.merge(b).merge(c)).isEqualTo(a.merge(b.merge(c)));
        assertThat(a.merge(a)).isEqualTo(a);
        assertThat(a.merge(b).hash()).isEqualTo(b.merge(a).hash());
        ByteBuffer bytes = ByteBuffer.allocate(EntryCodec.MAX_BYTES);
        a.merge(b).writeTo(bytes);
        assertThat(bytes.position()).isEqualTo(a.merge(b).encodedLength());
        assertThat(EntryCodec.read(bytes.flip())).isEqualTo(a.merge(b));
    }

    @Property
    void positionsMergeInAnyOrder(
            @ForAll("positions") VersionedEntry a,
            @ForAll("positions") VersionedEntry b,
            @ForAll("positions") VersionedEntry c) {
        laws(a, b, c);
    }

    @Property
    void writeOutcomesMergeInAnyOrder(
            @ForAll("writeOutcomes") VersionedEntry a,
            @ForAll("writeOutcomes") VersionedEntry b,
            @ForAll("writeOutcomes") VersionedEntry c) {
        laws(a, b, c);
    }

    @Test
    void aProofWinsOverADoubtAndOfTwoThatContradictTheOneThatForbidsExecutionCounts() {
        ClaimId one = new ClaimId(0, 1, 1);
        WriteOutcome doubt = WriteOutcome.of(5, one, ClaimState.CLAIMED, NO_ANSWER);
        WriteOutcome succeeded = WriteOutcome.of(5, one, ClaimState.SUCCEEDED, new byte[] {1});
        WriteOutcome never = WriteOutcome.of(5, one, ClaimState.NEVER_RAN, NO_ANSWER);
        assertThat(doubt.isInDoubt()).isTrue();
        assertThat(((WriteOutcome) doubt.merge(never)).isFree()).isTrue();
        assertThat(((WriteOutcome) doubt.merge(succeeded)).hasSucceeded()).isTrue();
        WriteOutcome both = (WriteOutcome) succeeded.merge(never);
        assertThat(both.isContradictory()).isTrue();
        assertThat(both.isFree()).isFalse();
        assertThat(both.hasSucceeded()).isTrue();
        WriteOutcome twice = (WriteOutcome)
                succeeded.merge(WriteOutcome.of(5, new ClaimId(1, 1, 1), ClaimState.SUCCEEDED, NO_ANSWER));
        assertThat(twice.isContradictory()).as("executed under two claims").isTrue();
    }

    @Test
    void overTheBoundNeitherAClaimInDoubtNorASuccessfulOneIsDropped() {
        WriteOutcome outcome = WriteOutcome.of(5, new ClaimId(0, 1, 0), ClaimState.CLAIMED, NO_ANSWER);
        for (int n = 1; n < 20; n++) {
            outcome = (WriteOutcome) outcome.merge(new WriteOutcome(
                    5, Map.of(new ClaimId(1, 1, n), ClaimState.CLAIMED.merge(ClaimState.NEVER_RAN)), NO_ANSWER));
        }
        assertThat(outcome.claims())
                .hasSizeLessThanOrEqualTo(WriteOutcome.MAX_CLAIMS)
                .containsKey(new ClaimId(0, 1, 0));
        assertThat(outcome.isInDoubt()).isTrue();
        assertThat(outcome.encodedLength()).isLessThanOrEqualTo(EntryCodec.MAX_BYTES);
    }

    @Test
    void anEntryOfAnUnknownTypeOrCutShortIsNotRead() {
        assertThat(EntryCodec.read(ByteBuffer.wrap(new byte[] {9, 1, 2, 3}))).isNull();
        assertThat(EntryCodec.read(ByteBuffer.wrap(new byte[] {EntryCodec.POSITION_TYPE, 1, 2})))
                .isNull();
        assertThat(EntryCodec.read(
                        ByteBuffer.wrap(new byte[] {EntryCodec.WRITE_OUTCOME_TYPE, 0, 0, 0, 0, 0, 0, 0, 0, 5, 1})))
                .isNull();
    }
}
