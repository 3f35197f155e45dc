package ploverdale.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/**
 * The bytes of each kind of message, and of a whole recorded exchange. Gateways of different versions read each other.
 */
class MembershipWireFormatTest {
    private static final long MS = 10;
    private static final long STARTED_MS = 1_700_000_000_000L;
    private static final int ALLOCATION = 0x0BADCAFE;
    private static final int MEMBERS = 3;

    private long now = 1000 * MS;

    private Member member(int number) {
        return new Member(number, MEMBERS, STARTED_MS + number, now);
    }

    /** A member with its packet queue. */
    private static final class Member {
        private final int number;
        private final Membership membership;
        private final PacketQueue queue;

        private Member(int number, int memberCount, long startedMs, long now) {
            this.number = number;
            membership = new Membership(number, memberCount, startedMs, new SplittableRandom(number));
            queue = new PacketQueue(100_000, now);
        }

        private List<PacketQueue.OutboundPacket> tick(long now) {
            membership.onTick(now, queue);
            return flush(now);
        }

        private List<PacketQueue.OutboundPacket> receive(long now, int from, byte[] bytes) {
            Packet packet = PacketCodec.decode(bytes);
            if (membership.acceptPacket(now, from, packet.incarnation())) {
                packet.parts().forEach(part -> membership.onPart(now, from, part, queue));
            } else {
                membership.correctStaleSender(from, queue);
            }
            return flush(now);
        }

        private List<PacketQueue.OutboundPacket> flush(long now) {
            return queue.drain(now, membership.incarnation(), ALLOCATION);
        }
    }

    private static List<String> hex(List<PacketQueue.OutboundPacket> packets) {
        return packets.stream()
                .map(packet -> packet.to() + ":" + HexFormat.of().formatHex(packet.bytes()))
                .toList();
    }

    private static byte[] bytes(String hex) {
        return HexFormat.of().parseHex(hex.substring(hex.indexOf(':') + 1));
    }

    private static final String PING = "2:b201c5e7f2b400000badcafe01040000000104090000c5e7f2b400000124ef9c7b";
    private static final String ACK =
            "0:b201c5e7f2b401000badcafe02040000000104120000c5e7f2b40000010002c5e7f2b4010001812cd78c";
    private static final String PING_REQUEST = "1:b201c5e7f2b400000badcafe030600000001000229235417";
    private static final String RELAYED_PING =
            "2:b201c5e7f2b400800badcafe01040000000104120000c5e7f2b40000010001c5e7f2b4008001c794ff44";
    private static final String RELAYED_ACK =
            "0:b201c5e7f2b400800badcafe020400000001041b0000c5e7f2b40000010002c5e7f2b40100010001c5e7f2b4008001be44fa17";
    private static final String SUSPECT =
            "2:b201c5e7f2b400000badcafe010400000003041b0002c5e7f2b40100010001c5e7f2b40080020000c5e7f2b40000016db97c97";
    private static final String DEAD =
            "2:b201c5e7f2b400000badcafe01040000000804120002c5e7f2b40100040001c5e7f2b40080047994808d";
    private static final String LEAVING = "0:b201c5e7f2b401000badcafe01040000000104090002c5e7f2b4010003873e7484";
    private static final String CORRECTION = "1:b201c5e7f2b400000badcafe04090001c5e7f315a800012eb3ba50";
    private static final String REFUTATION =
            "0:b201c5e7f315a8800badcafe01040000000104120000c5e7f2b40000010001c5e7f315a88001d0cdcdce";

    /** The first packet of a member, which makes it ALIVE at the receiver. */
    private byte[] firstPacketOf(int number) {
        return member(number).tick(now).get(0).bytes();
    }

    @Test
    void aPingCarriesItsSequenceNumberAndUpdates() {
        assertThat(hex(member(0).tick(now))).containsExactly(PING);
    }

    @Test
    void anAckCarriesTheSequenceNumberOfThePing() {
        assertThat(hex(member(2).receive(now, 0, bytes(PING)))).containsExactly(ACK);
    }

    @Test
    void aPingRequestCarriesTheSequenceNumberOfThePingAndItsTarget() {
        Member origin = member(0);
        origin.tick(now);
        origin.receive(now, 1, firstPacketOf(1));
        assertThat(hex(origin.tick(now + 160 * MS))).containsExactly(PING_REQUEST);
    }

    @Test
    void aPingRequestIsRelayedAsAPingAndItsAckCarriesTheSequenceNumberOfTheRequest() {
        Member relay = member(1);
        assertThat(hex(relay.receive(now, 0, bytes(PING_REQUEST)))).containsExactly(RELAYED_PING);
        Member target = member(2);
        List<PacketQueue.OutboundPacket> ack = target.receive(now, 1, bytes(RELAYED_PING));
        assertThat(hex(relay.receive(now, 2, ack.get(0).bytes()))).containsExactly(RELAYED_ACK);
    }

    @Test
    void updatesCarryMemberIncarnationAndState() {
        Member observer = member(0);
        observer.receive(now, 1, firstPacketOf(1));
        observer.receive(now, 2, firstPacketOf(2));
        List<String> sent = new ArrayList<>();
        for (long at = now; at < now + 4000 * MS; at += 20 * MS) {
            sent.addAll(hex(observer.tick(at)));
        }
        assertThat(sent).contains(SUSPECT, DEAD);
        Member leaving = member(2);
        leaving.membership.leave(now);
        assertThat(hex(leaving.tick(now))).containsExactly(LEAVING);
    }

    @Test
    void aStartWithAnEarlierTimeIsCorrectedAndRefutesTheCorrection() {
        Member laterStart = new Member(1, MEMBERS, STARTED_MS + 50_000, now);
        Member observer = member(0);
        observer.receive(now, 1, laterStart.tick(now).get(0).bytes());
        observer.flush(now);
        assertThat(hex(observer.receive(now, 1, firstPacketOf(1)))).containsExactly(CORRECTION);
        Member earlierStart = member(1);
        earlierStart.receive(now, 0, bytes(CORRECTION));
        assertThat(hex(earlierStart.tick(now))).containsExactly(REFUTATION);
    }

    @Test
    void partsOfUnknownKindAndAdditionalBytesInPartsAreIgnored() {
        byte[] ping = new byte[] {0, 0, 0, 9, 1, 2, 3};
        Packet packet = new Packet(
                STARTED_MS << 7,
                ALLOCATION,
                List.of(
                        new Packet.Part(99, new byte[] {1, 2}),
                        new Packet.Part(1, ping),
                        new Packet.Part(1, new byte[3]),
                        new Packet.Part(2, new byte[3]),
                        new Packet.Part(3, new byte[1]),
                        new Packet.Part(4, new byte[8])));
        assertThat(hex(member(2).receive(now, 0, PacketCodec.encode(packet))))
                .containsExactly(
                        "0:b201c5e7f2b401000badcafe02040000000904120000c5e7f2b40000010002c5e7f2b4010001e97f38e4");
    }

    /**
     * Runs 16 members for a minute, with lost packets, crashes, restarts, and a shutdown. Checks all bytes and changes.
     */
    @Test
    void aSimulatedExchangeSendsTheSameBytesAsRecorded() {
        Exchange exchange = new Exchange(16);
        for (int step = 0; step < 3000; step++) {
            exchange.step(step);
        }
        assertThat(exchange.sent).isEqualTo(7012);
        assertThat(exchange.changes).isEqualTo(576);
        assertThat(Long.toHexString(exchange.checksum.getValue())).isEqualTo("39976e6b");
    }

    /** Members on a network that loses a tenth of all packets, with a random generator of its own. */
    private static final class Exchange {
        private record Delivery(int from, int to, byte[] bytes) {}

        private final Member[] members;
        private final CRC32C checksum = new CRC32C();
        private final SplittableRandom random = new SplittableRandom(42);
        private List<Delivery> inFlight = new ArrayList<>();
        private int sent;
        private int changes;

        private Exchange(int memberCount) {
            members = new Member[memberCount];
            for (int i = 0; i < memberCount; i++) {
                start(i, STARTED_MS, 0);
            }
        }

        private void start(int number, long startedMs, long now) {
            members[number] = new Member(number, members.length, startedMs, now);
        }

        private void step(int step) {
            long now = 1000 * MS + step * 20 * MS;
            disturb(step, now);
            List<Delivery> toDeliver = inFlight;
            inFlight = new ArrayList<>();
            for (Delivery delivery : toDeliver) {
                Member to = members[delivery.to()];
                if (to != null && random.nextInt(10) != 0) {
                    send(to.number, to.receive(now, delivery.from(), delivery.bytes()));
                }
            }
            for (Member member : members) {
                if (member != null) {
                    send(member.number, member.tick(now));
                    record(member);
                }
            }
        }

        /** Stops and restarts members and shuts one down. */
        private void disturb(int step, long now) {
            if (step == 300) {
                members[3] = null;
                members[4] = null;
            }
            if (step == 900) {
                start(3, STARTED_MS - 5000, now); // with a wall clock that was set back
            }
            if (step == 1200) {
                members[7].membership.leave(now);
            }
            if (step == 1300) {
                members[7] = null;
            }
            if (step == 2000) {
                start(4, STARTED_MS + 40_000, now);
            }
        }

        private void send(int from, List<PacketQueue.OutboundPacket> packets) {
            for (PacketQueue.OutboundPacket packet : packets) {
                sent++;
                checksum.update(from);
                checksum.update(packet.to());
                checksum.update(packet.bytes());
                inFlight.add(new Delivery(from, packet.to(), packet.bytes()));
            }
        }

        private void record(Member member) {
            for (Membership.Change change : member.membership.drainChanges()) {
                changes++;
                checksum.update(member.number);
                checksum.update(change.member());
                checksum.update(change.previous().ordinal());
                checksum.update(change.current().ordinal());
                checksum.update(Long.hashCode(change.incarnation()));
            }
        }
    }
}
