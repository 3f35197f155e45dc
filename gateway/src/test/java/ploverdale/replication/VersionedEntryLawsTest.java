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

/** Copies that got the same facts, in whatever order and however often, are equal; and what stands where they differ. */
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
    Arbitrary<VersionedEntry> fates() {
        Arbitrary<IdempotencyRecord> claims = Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.longs().between(1, 2),
                        Arbitraries.integers().between(1, 2))
                .as(IdempotencyRecord::new);
        Arbitrary<byte[]> answers =
                Arbitraries.bytes().array(byte[].class).ofMinSize(0).ofMaxSize(3);
        return Combinators.combine(
                        Arbitraries.longs().between(0, 3),
                        Arbitraries.maps(claims, Arbitraries.of(1, 3, 5, 7))
                                .ofMinSize(1)
                                .ofMaxSize(2),
                        answers)
                .as(WriteOutcome::new);
    }

    private static void laws(VersionedEntry a, VersionedEntry b, VersionedEntry c) {
        assertThat(a.join(b)).isEqualTo(b.join(a));
        assertThat(a.join(b).join(c)).isEqualTo(a.join(b.join(c)));
        assertThat(a.join(a)).isEqualTo(a);
        assertThat(a.join(b).hash()).isEqualTo(b.join(a).hash());
        ByteBuffer bytes = ByteBuffer.allocate(VersionedEntry.MOST);
        a.join(b).write(bytes);
        assertThat(bytes.position()).isEqualTo(a.join(b).length());
        assertThat(VersionedEntry.read(bytes.flip())).isEqualTo(a.join(b));
    }

    @Property
    void positionsJoinInAnyOrder(
            @ForAll("positions") VersionedEntry a,
            @ForAll("positions") VersionedEntry b,
            @ForAll("positions") VersionedEntry c) {
        laws(a, b, c);
    }

    @Property
    void fatesJoinInAnyOrder(
            @ForAll("fates") VersionedEntry a, @ForAll("fates") VersionedEntry b, @ForAll("fates") VersionedEntry c) {
        laws(a, b, c);
    }

    @Test
    void aProofWinsOverADoubtAndOfTwoThatDifferTheOneThatForbidsASendStands() {
        IdempotencyRecord one = new IdempotencyRecord(0, 1, 1);
        WriteOutcome doubt = WriteOutcome.of(5, one, WriteOutcome.MADE, NO_ANSWER);
        WriteOutcome acked = WriteOutcome.of(5, one, WriteOutcome.SUCCEEDED, new byte[] {1});
        WriteOutcome never = WriteOutcome.of(5, one, WriteOutcome.NEVER_RAN, NO_ANSWER);
        assertThat(doubt.inDoubt()).isTrue();
        assertThat(((WriteOutcome) doubt.join(never)).free()).isTrue();
        assertThat(((WriteOutcome) doubt.join(acked)).acked()).isTrue();
        WriteOutcome both = (WriteOutcome) acked.join(never);
        assertThat(both.alarm()).isTrue();
        assertThat(both.free()).isFalse();
        assertThat(both.acked()).isTrue();
        WriteOutcome twice = (WriteOutcome)
                acked.join(WriteOutcome.of(5, new IdempotencyRecord(1, 1, 1), WriteOutcome.SUCCEEDED, NO_ANSWER));
        assertThat(twice.alarm()).as("it ran twice").isTrue();
    }

    @Test
    void madeRoomForNeitherADoubtNorAnAckedClaimGoes() {
        WriteOutcome f = WriteOutcome.of(5, new IdempotencyRecord(0, 1, 0), WriteOutcome.MADE, NO_ANSWER);
        for (int n = 1; n < 20; n++) {
            f = (WriteOutcome) f.join(new WriteOutcome(
                    5, Map.of(new IdempotencyRecord(1, 1, n), WriteOutcome.MADE | WriteOutcome.NEVER_RAN), NO_ANSWER));
        }
        assertThat(f.claims())
                .hasSizeLessThanOrEqualTo(WriteOutcome.CLAIMS_MOST)
                .containsKey(new IdempotencyRecord(0, 1, 0));
        assertThat(f.inDoubt()).isTrue();
        assertThat(f.length()).isLessThanOrEqualTo(VersionedEntry.MOST);
    }

    @Test
    void whatIsOfALaterVersionOrCutShortIsNotRead() {
        assertThat(VersionedEntry.read(ByteBuffer.wrap(new byte[] {9, 1, 2, 3})))
                .isNull();
        assertThat(VersionedEntry.read(ByteBuffer.wrap(new byte[] {Position.KIND, 1, 2})))
                .isNull();
        assertThat(VersionedEntry.read(ByteBuffer.wrap(new byte[] {WriteOutcome.KIND, 0, 0, 0, 0, 0, 0, 0, 0, 5, 1})))
                .isNull();
    }
}
