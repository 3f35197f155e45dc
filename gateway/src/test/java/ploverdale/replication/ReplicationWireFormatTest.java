package ploverdale.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ploverdale.membership.Packet.Part;
import ploverdale.membership.PacketCodec;
import ploverdale.membership.PacketQueue;

/** Fixes the bytes of each message between two gateways, which versions that run side by side must agree on. */
class ReplicationWireFormatTest {
    private static final long NOW = 0;
    private static final long UNIX_TIME = 17_000_000_000_000L;
    private static final long SESSION = 0x1122334455667788L;
    private static final long WRITE = 0x99AABBCCDDEEFF00L;
    private static final int GATEWAY_A = 0;
    private static final int GATEWAY_B = 1;
    private static final int GATEWAYS = 2;
    private static final ReplicationSettings SETTINGS =
            new ReplicationSettings(2, true, 200_000, 400, 80_000, true, Set.of(), 1000, 100, 500);

    private final Replicas[] gateways = new Replicas[GATEWAYS];
    private final PacketQueue[] queues = new PacketQueue[GATEWAYS];
    private long unixTime = UNIX_TIME;

    ReplicationWireFormatTest() {
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            gateways[gateway] = new Replicas(
                    gateway,
                    GATEWAYS,
                    incarnation(gateway),
                    SETTINGS,
                    new SplittableRandom(gateway + 1),
                    () -> unixTime);
            queues[gateway] = new PacketQueue(1e9, NOW);
        }
        unixTime += 1_000_000; // past the time up to which entries may be missing after the start
    }

    private static long incarnation(int gateway) {
        return 0x0A0B0C0D0E00L + gateway;
    }

    private List<Part> sentBy(int gateway) {
        List<Part> sent = new ArrayList<>();
        queues[gateway]
                .drain(NOW, incarnation(gateway), 1)
                .forEach(
                        packet -> sent.addAll(PacketCodec.decode(packet.bytes()).parts()));
        return sent;
    }

    private void deliver(int from, Part part) {
        int to = 1 - from;
        gateways[to].onMessage(NOW, from, incarnation(from), part, queues[to]);
    }

    /** Delivers messages until no gateway sends any; returns a line for each: its sender, kind and content. */
    private List<String> exchange() {
        List<String> lines = new ArrayList<>();
        boolean allDelivered = false;
        while (!allDelivered) {
            allDelivered = true;
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                for (Part part : sentBy(gateway)) {
                    allDelivered = false;
                    lines.add(line(gateway, part));
                    deliver(gateway, part);
                }
            }
        }
        return lines;
    }

    private static String line(int from, Part part) {
        return "AB".charAt(from) + " " + part.kind() + " " + HexFormat.of().formatHex(part.content());
    }

    private ClaimId claimWrite() {
        gateways[GATEWAY_A].claimWrite(NOW, WRITE, true, unixTime, queues[GATEWAY_A]);
        exchange();
        return gateways[GATEWAY_A].takeResults().get(0).claim();
    }

    @Test
    void aPositionIsReplicatedToTheOtherReplica() {
        gateways[GATEWAY_A].writePosition(NOW, SESSION, unixTime, 0x1234, 1000, true, queues[GATEWAY_A]);
        assertThat(exchange())
                .containsExactly(
                        "A 32 0000000111223344556677880100000f761f0552401234", "B 33 00000a0b0c0d0e0000000001");
    }

    @Test
    void aPositionIsReadFromTheOtherReplica() {
        gateways[GATEWAY_B].writePosition(NOW, SESSION, unixTime, 0x1234, 1000, true, queues[GATEWAY_B]);
        exchange();
        gateways[GATEWAY_A].readPosition(NOW, SESSION, queues[GATEWAY_A]);
        gateways[GATEWAY_A].readPosition(NOW, SESSION + 1, queues[GATEWAY_A]);
        assertThat(exchange())
                .containsExactly(
                        "A 34 000000011122334455667788",
                        "A 34 000000021122334455667789",
                        "B 35 00000a0b0c0d0e000000000100000f761f0552401234",
                        "B 35 00000a0b0c0d0e000000000200000f761f02430cffff");
    }

    @Test
    void aSecondClaimToTheSameWriteIsRefused() {
        gateways[GATEWAY_A].claimWrite(NOW, WRITE, true, unixTime, queues[GATEWAY_A]);
        List<String> lines = exchange();
        gateways[GATEWAY_B].claimWrite(NOW, WRITE, false, unixTime + 1, queues[GATEWAY_B]);
        lines.addAll(exchange());
        assertThat(lines)
                .containsExactly(
                        "A 36 0000000299aabbccddeeff00010200000f761f0552400100000a0b0c0d0e00000000010100",
                        "B 37 00000a0b0c0d0e0000000002010200000f761f0552400100000a0b0c0d0e00000000010100",
                        "B 36 0000000299aabbccddeeff00000200000f761f0552410100010a0b0c0d0e01000000010100",
                        "A 37 00000a0b0c0d0e0100000002000200000f761f0552400100000a0b0c0d0e00000000010100");
    }

    @Test
    void proofsAboutAClaimAreReplicated() {
        ClaimId claim = claimWrite();
        gateways[GATEWAY_A].writeOutcome(
                NOW, WRITE, claim, ClaimState.NEVER_RAN, new byte[0], 1000, true, queues[GATEWAY_A]);
        List<String> lines = exchange();
        gateways[GATEWAY_A].writeOutcome(
                NOW, WRITE, claim, ClaimState.SUCCEEDED, new byte[] {1, 2, 3}, 1000, true, queues[GATEWAY_A]);
        lines.addAll(exchange());
        assertThat(lines)
                .containsExactly(
                        "A 32 0000000399aabbccddeeff000200000f761f0552400100000a0b0c0d0e00000000010300",
                        "B 33 00000a0b0c0d0e0000000003",
                        "A 32 0000000499aabbccddeeff000200000f761f0552400100000a0b0c0d0e00000000010503010203",
                        "B 33 00000a0b0c0d0e0000000004");
    }

    @Test
    void contradictingProofsAreLogged() {
        ClaimId claim = claimWrite();
        gateways[GATEWAY_A].takeLogLines();
        gateways[GATEWAY_A].writeOutcome(
                NOW, WRITE, claim, ClaimState.NEVER_RAN, new byte[0], 1000, true, queues[GATEWAY_A]);
        gateways[GATEWAY_A].writeOutcome(
                NOW, WRITE, claim, ClaimState.SUCCEEDED, new byte[] {1, 2, 3}, 1000, true, queues[GATEWAY_A]);
        assertThat(gateways[GATEWAY_A].takeLogLines())
                .containsExactly(
                        "replicas alarm: two proofs contradict one another, key 99aabbccddeeff00, fate of 17000001000000 {IdempotencyRecord[gateway=0, start=11042563100160, number=1]=7}, answered");
        assertThat(gateways[GATEWAY_A].statistics())
                .isEqualTo(
                        "replicas: holds 1 facts, 0 forgotten for want of room, 1 asked, 0 of them unknown, 0 taken from others, 1 alarms");
    }

    @Test
    void antiEntropyComparesRangesAndFetchesThoseThatDiffer() {
        gateways[GATEWAY_B].writePosition(NOW, SESSION, unixTime, 0x1234, 1000, true, queues[GATEWAY_B]);
        gateways[GATEWAY_B].writePosition(NOW, SESSION + 1, unixTime + 5, 0x1234, 1000, true, queues[GATEWAY_B]);
        gateways[GATEWAY_B].claimWrite(NOW, WRITE, true, unixTime, queues[GATEWAY_B]);
        sentBy(GATEWAY_B); // lost
        gateways[GATEWAY_A].writePosition(NOW, SESSION + 2, unixTime + 7, 0x4321, 1000, true, queues[GATEWAY_A]);
        sentBy(GATEWAY_A); // lost
        gateways[GATEWAY_A].takeLogLines();
        gateways[GATEWAY_A].onTick(NOW, gateway -> true, queues[GATEWAY_A]);
        assertThat(exchange())
                .containsExactly(
                        "A 38 00000001000000b5dd429d00000f761f057950000000000000000089ff7f98deac5ce100000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
                        "B 39 00000a0b0c0d0e0000000001020200000f761ef611f4",
                        "A 38 00000002010009b5dd429d00000f761f0579500000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
                        "A 38 00000003010001b5dd429d00000f761f057950000000000000000089ff7f98deac5ce100000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
                        "B 39 00000a0b0c0d0e0000000002020000000f761ef611f4",
                        "B 39 00000a0b0c0d0e0000000003000200000f761ef611f4",
                        "A 38 00000004020099b5dd429d00000f761f0579500000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
                        "A 38 00000005020011b5dd429d00000f761f0579500000000000000000000000000000000089ff7f98deac5ce10000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
                        "B 39 00000a0b0c0d0e0000000004040000000f761ef611f4",
                        "B 39 00000a0b0c0d0e0000000005000400000f761ef611f4",
                        "A 40 00000006099a000000000000000000",
                        "A 40 000000070112000000000000000000",
                        "B 41 00000a0b0c0d0e00000000060099aabbccddeeff000200000f761f0552400100010a0b0c0d0e01000000030100",
                        "B 41 00000a0b0c0d0e00000000070011223344556677880100000f761f055240123411223344556677890100000f761f0552451234");
        assertThat(gateways[GATEWAY_A].takeLogLines())
                .containsExactly("replicas: caught up with all others, 4 facts held, 3 of them from others");
        gateways[GATEWAY_B].onTick(NOW, gateway -> true, queues[GATEWAY_B]);
        exchange();
        assertThat(gateways[GATEWAY_A].digest(GATEWAY_B, 0)).isEqualTo(gateways[GATEWAY_B].digest(GATEWAY_A, 0));
    }

    @Test
    void aRangeThatDoesNotFitIntoOneMessageIsFetchedInSeveral() {
        for (int entry = 0; entry < 12; entry++) {
            gateways[GATEWAY_B].writePosition(
                    NOW, SESSION + entry, unixTime + entry, entry, 1000, true, queues[GATEWAY_B]);
        }
        sentBy(GATEWAY_B); // lost
        gateways[GATEWAY_A].onTick(NOW, gateway -> true, queues[GATEWAY_A]);
        assertThat(exchange().stream().filter(line -> line.startsWith("A 40") || line.startsWith("B 41")))
                .containsExactly(
                        "A 40 000000040112000000000000000000",
                        "B 41 00000a0b0c0d0e00000000040111223344556677880100000f761f055240000011223344556677890100000f761f0552410001112233445566778a0100000f761f0552420002112233445566778b0100000f761f0552430003112233445566778c0100000f761f0552440004112233445566778d0100000f761f0552450005112233445566778e0100000f761f0552460006112233445566778f0100000f761f055247000711223344556677900100000f761f055248000811223344556677910100000f761f0552490009",
                        "A 40 000000050112011122334455667791",
                        "B 41 00000a0b0c0d0e00000000050011223344556677920100000f761f05524a000a11223344556677930100000f761f05524b000b");
    }

    @Test
    void truncatedMessagesAndMessagesOfUnknownKindsChangeNothing() {
        ClaimId claim = claimWrite();
        gateways[GATEWAY_A].writePosition(NOW, SESSION, unixTime, 0x1234, 1000, true, queues[GATEWAY_A]);
        gateways[GATEWAY_A].writeOutcome(
                NOW, WRITE, claim, ClaimState.SUCCEEDED, new byte[] {1, 2, 3}, 1000, true, queues[GATEWAY_A]);
        gateways[GATEWAY_A].readPosition(NOW, SESSION, queues[GATEWAY_A]);
        gateways[GATEWAY_A].claimWrite(NOW, WRITE + 1, true, unixTime, queues[GATEWAY_A]);
        gateways[GATEWAY_A].onTick(NOW, gateway -> true, queues[GATEWAY_A]);
        long before = gateways[GATEWAY_B].digest(GATEWAY_A, 0);
        for (Part part : sentBy(GATEWAY_A)) {
            for (int length = 0; length < part.content().length; length++) {
                deliver(GATEWAY_A, new Part(part.kind(), Arrays.copyOf(part.content(), length)));
            }
            deliver(GATEWAY_A, new Part(part.kind() + 100, part.content()));
        }
        assertThat(sentBy(GATEWAY_B)).isEmpty();
        assertThat(gateways[GATEWAY_B].digest(GATEWAY_A, 0)).isEqualTo(before);
    }

    @Test
    void bytesAppendedByALaterVersionAreIgnored() {
        gateways[GATEWAY_A].writePosition(NOW, SESSION, unixTime, 0x1234, 1000, true, queues[GATEWAY_A]);
        gateways[GATEWAY_A].readPosition(NOW, SESSION, queues[GATEWAY_A]);
        gateways[GATEWAY_A].claimWrite(NOW, WRITE, true, unixTime, queues[GATEWAY_A]);
        List<Part> sent = sentBy(GATEWAY_A);
        for (Part part : sent) {
            deliver(GATEWAY_A, new Part(part.kind(), Arrays.copyOf(part.content(), part.content().length + 4)));
        }
        assertThat(sentBy(GATEWAY_B).stream().map(Part::kind)).containsExactly(33, 35, 37);
    }
}
