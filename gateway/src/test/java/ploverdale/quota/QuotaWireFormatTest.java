package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ploverdale.membership.Packet.Part;
import ploverdale.membership.PacketCodec;
import ploverdale.membership.PacketQueue;

/**
 * Tests the bytes that gateways of different versions exchange: an example of each message kind, and the id of an
 * allocation.
 */
class QuotaWireFormatTest {
    private static final long EPOCH = 0x0123456789ABCDEFL;

    private static Part leaseRequest(int partition, int round) {
        return QuotaMessageCodec.encode(new QuotaMessage.LeaseRequest(partition, round));
    }

    private static Part leaseGrant(int partition, int round, long epoch) {
        return QuotaMessageCodec.encode(new QuotaMessage.LeaseGrant(partition, round, epoch));
    }

    private static Part unitRequest(int request, int renewedSubLease, int[] units) {
        return QuotaMessageCodec.encode(
                new QuotaMessage.UnitRequest(request, renewedSubLease, UnitCounts.ofPositive(units)));
    }

    private static Part unitGrant(long epoch, int request, int subLease, int[] units) {
        return QuotaMessageCodec.encode(
                new QuotaMessage.UnitGrant(epoch, request, subLease, UnitCounts.ofPositive(units)));
    }

    private static Part unitReturn(int subLease, int[] units) {
        return QuotaMessageCodec.encode(new QuotaMessage.UnitReturn(subLease, UnitCounts.ofAllLimits(units)));
    }

    private static String hex(Part part) {
        return HexFormat.of().formatHex(part.content());
    }

    private static int[] consecutiveUnits(int limits, int firstCount) {
        int[] units = new int[limits];
        for (int limit = 0; limit < limits; limit++) {
            units[limit] = firstCount + limit;
        }
        return units;
    }

    @Test
    void leaseRequestHasPartitionAndRound() {
        Part part = leaseRequest(513, 70_000);
        assertThat(part.kind()).isEqualTo(16);
        assertThat(hex(part)).isEqualTo("020100011170");
    }

    @Test
    void leaseGrantHasPartitionRoundAndHolderEpoch() {
        Part part = leaseGrant(65_535, 7, EPOCH);
        assertThat(part.kind()).isEqualTo(17);
        assertThat(hex(part)).isEqualTo("ffff000000070123456789abcdef");
    }

    @Test
    void unitRequestOmitsLimitsOfWhichNoUnitsAreWanted() {
        Part part = unitRequest(9, 0, new int[] {0, 5, -3, 65_535});
        assertThat(part.kind()).isEqualTo(18);
        assertThat(hex(part)).isEqualTo("0000000900000000000100050003ffff");
        Part renewal = unitRequest(10, 258, new int[] {1});
        assertThat(hex(renewal)).isEqualTo("0000000a0000010200000001");
    }

    @Test
    void unitGrantOmitsLimitsOfWhichNoUnitsAreGranted() {
        Part part = unitGrant(EPOCH, 9, 258, new int[] {0, 0, 300});
        assertThat(part.kind()).isEqualTo(19);
        assertThat(hex(part)).isEqualTo("0123456789abcdef00000009000001020002012c");
    }

    @Test
    void unitReturnListsLimitsOfWhichNoUnitsAreKept() {
        Part part = unitReturn(258, new int[] {0, 4});
        assertThat(part.kind()).isEqualTo(20);
        assertThat(hex(part)).isEqualTo("000001020000000000010004");
    }

    @Test
    void aMessageListsAtMostFortyLimits() {
        assertThat(hex(unitRequest(1, 0, consecutiveUnits(64, 0))))
                .hasSize(2 * (8 + 40 * 4))
                .startsWith("000000010000000000010001")
                .endsWith("00280028");
        assertThat(hex(unitReturn(1, consecutiveUnits(64, 0))))
                .hasSize(2 * (4 + 40 * 4))
                .startsWith("0000000100000000")
                .endsWith("00270027");
    }

    /**
     * Passes a message from gateway 0 to gateway 1 of 3, long after the start of gateway 1.
     *
     * @return the kind and the content in hex of each part sent in reply
     */
    private static List<String> repliesTo(int kind, String content) {
        QuotaAllocation allocation = new QuotaAllocation(
                List.of(new SharedLimit("server 0", SharedLimit.Kind.CONCURRENCY, 24, 3_300)), 3, 0.5);
        QuotaProtocol gateway =
                new QuotaProtocol(1, 5, allocation, new LeaseDurations(3_000, 2_000, 0.05), new SplittableRandom(1), 0);
        PacketQueue queue = new PacketQueue(1e9, 0);
        long now = 100_000;
        gateway.onMessage(now, 0, EPOCH, new Part(kind, HexFormat.of().parseHex(content)), queue);
        return queue.drain(now, 1, allocation.id()).stream()
                .flatMap(packet -> PacketCodec.decode(packet.bytes()).parts().stream())
                .map(part -> part.kind() + " " + hex(part))
                .toList();
    }

    @Test
    void aMessageLongerThanExpectedIsHandledAndAShorterOneIsIgnored() {
        assertThat(repliesTo(16, "000000000007")).containsExactly("17 0000000000070123456789abcdef");
        assertThat(repliesTo(16, "000000000007ff")).containsExactly("17 0000000000070123456789abcdef");
        assertThat(repliesTo(16, "0000000000")).isEmpty();
        for (int kind = 17; kind <= 21; kind++) {
            assertThat(repliesTo(kind, "")).isEmpty();
            assertThat(repliesTo(kind, "000000")).isEmpty();
        }
    }

    @Test
    void theIdOfAnAllocationDependsOnItsContentAndIsTheSameInAllVersions() {
        QuotaAllocation allocation = new QuotaAllocation(
                List.of(
                        new SharedLimit("tenant 0", SharedLimit.Kind.RATE, 60, 10_000),
                        new SharedLimit("server 0", SharedLimit.Kind.CONCURRENCY, 24, 3_300)),
                7,
                0.5);
        assertThat(Integer.toHexString(allocation.id())).isEqualTo("7148486f");
        assertThat(Integer.toHexString(new QuotaAllocation(List.of(), 3, 0.25).id()))
                .isEqualTo("73b51de");
    }
}
