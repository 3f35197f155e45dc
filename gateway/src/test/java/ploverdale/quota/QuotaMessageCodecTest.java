package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import ploverdale.membership.Packet.Part;

/** Tests that decoding restores an encoded message; {@link QuotaWireFormatTest} checks the bytes. */
class QuotaMessageCodecTest {
    private static final long EPOCH = 0xFEDCBA9876543210L;
    private static final UnitCounts UNITS = UnitCounts.ofAllLimits(new int[] {3, 0, 65_535});

    private static <T extends QuotaMessage> T decode(Part part, Class<T> messageType) {
        assertThat(QuotaMessageCodec.decode(part)).get().isInstanceOf(messageType);
        return messageType.cast(QuotaMessageCodec.decode(part).orElseThrow());
    }

    @Test
    void leaseMessagesAreDecodedAsEncoded() {
        QuotaMessage.LeaseRequest request = new QuotaMessage.LeaseRequest(65_535, -1);
        assertThat(QuotaMessageCodec.decode(QuotaMessageCodec.encode(request))).contains(request);
        QuotaMessage.LeaseGrant grant = new QuotaMessage.LeaseGrant(300, 7, EPOCH);
        assertThat(QuotaMessageCodec.decode(QuotaMessageCodec.encode(grant))).contains(grant);
    }

    @Test
    void unitMessagesAreDecodedAsEncoded() {
        QuotaMessage.UnitRequest request = decode(
                QuotaMessageCodec.encode(new QuotaMessage.UnitRequest(1, 2, UNITS)), QuotaMessage.UnitRequest.class);
        assertThat(request.request()).isEqualTo(1);
        assertThat(request.subLease()).isEqualTo(2);
        assertThat(request.units().byLimit()).isEqualTo(UNITS.byLimit());
        QuotaMessage.UnitGrant grant = decode(
                QuotaMessageCodec.encode(new QuotaMessage.UnitGrant(EPOCH, 1, 2, UNITS)), QuotaMessage.UnitGrant.class);
        assertThat(grant.borrowerEpoch()).isEqualTo(EPOCH);
        assertThat(grant.request()).isEqualTo(1);
        assertThat(grant.subLease()).isEqualTo(2);
        assertThat(grant.units().byLimit()).isEqualTo(UNITS.byLimit());
        QuotaMessage.UnitReturn unitReturn =
                decode(QuotaMessageCodec.encode(new QuotaMessage.UnitReturn(2, UNITS)), QuotaMessage.UnitReturn.class);
        assertThat(unitReturn.subLease()).isEqualTo(2);
        assertThat(unitReturn.keptUnits().byLimit()).isEqualTo(UNITS.byLimit());
    }

    @Test
    void limitsThatAreNotListedHaveNoUnits() {
        UnitCounts units = UnitCounts.of(Map.of(1, 0, 3, 5));
        assertThat(units.byLimit()).doesNotContainKey(0).containsKey(1);
        assertThat(units.get(0)).isZero();
        assertThat(units.get(1)).isZero();
        assertThat(units.get(3)).isEqualTo(5);
    }

    @Test
    void partsOfOtherKindsAreNotDecoded() {
        assertThat(QuotaMessageCodec.decode(new Part(15, new byte[32]))).isEmpty();
        assertThat(QuotaMessageCodec.decode(new Part(21, new byte[32]))).isEmpty();
    }
}
