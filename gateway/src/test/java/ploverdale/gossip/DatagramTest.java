package ploverdale.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static ploverdale.gossip.ServerObservationTest.NOW;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32C;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import ploverdale.gossip.Datagram.Kind;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;

/** The maximum size of datagrams, the rejection of invalid ones, and the decoding of other versions. */
class DatagramTest {
    private static final ServerObservation PRIMARY = new ServerObservation(
            Role.PRIMARY,
            NOW - 5000,
            NOW - 5010,
            NOW - 5000,
            NOW - 5000,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME);

    /** Replaces the checksum by the correct one. */
    private static byte[] withChecksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length - 4);
        ByteBuffer.wrap(bytes).putInt(bytes.length - 4, (int) crc.getValue());
        return bytes;
    }

    @Test
    void aDatagramWithTheMaximumNumberOfObservationsFitsTheLimit() {
        Map<Integer, ServerObservation> observations = new LinkedHashMap<>();
        for (int i = 0; i < DatagramCodec.MAX_OBSERVATIONS; i++) {
            observations.put(ServerHash.of(new ServerId("s-" + i)), PRIMARY);
        }
        byte[] bytes = DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, NOW, observations));
        assertThat(bytes.length).isLessThanOrEqualTo(256).isGreaterThan(220);
        assertThat(DatagramCodec.decode(bytes).datagram())
                .isEqualTo(new Datagram(Kind.OBSERVATIONS, NOW, observations));
    }

    @Property(seed = "11")
    void randomBytesAreRejectedWithoutAnException(@ForAll byte[] randomBytes) {
        assertThat(DatagramCodec.decode(randomBytes).datagram()).isNull();
        if (randomBytes.length > 0) {
            randomBytes[0] = (byte) 0xB1;
        }
        if (randomBytes.length >= 14) {
            // With a valid checksum the content is decoded, so the datagram may or may not be accepted.
            DatagramCodec.DecodeResult result = DatagramCodec.decode(withChecksum(randomBytes));
            assertThat(result.datagram() == null).isNotEqualTo(result.rejection() == null);
        }
    }

    @Test
    void truncatedCorruptAndForeignDatagramsAreRejectedWithTheReason() {
        byte[] bytes = DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, NOW, Map.of(7, PRIMARY)));
        for (int length = 0; length < bytes.length; length++) {
            assertThat(DatagramCodec.decode(Arrays.copyOf(bytes, length)).rejection())
                    .isIn(RejectionReason.TOO_SHORT, RejectionReason.WRONG_CHECKSUM);
        }
        assertThat(DatagramCodec.decode(new byte[257]).rejection()).isEqualTo(RejectionReason.TOO_LONG);
        byte[] corrupt = bytes.clone();
        corrupt[15] ^= 1;
        assertThat(DatagramCodec.decode(corrupt).rejection()).isEqualTo(RejectionReason.WRONG_CHECKSUM);
        byte[] foreign = bytes.clone();
        foreign[0] = 'x';
        assertThat(DatagramCodec.decode(foreign).rejection()).isEqualTo(RejectionReason.WRONG_MAGIC);
        byte[] versionZero = bytes.clone();
        versionZero[1] = 0;
        assertThat(DatagramCodec.decode(withChecksum(versionZero)).rejection())
                .isEqualTo(RejectionReason.UNKNOWN_VERSION);
        byte[] shortEntry = bytes.clone();
        shortEntry[3] = 5;
        assertThat(DatagramCodec.decode(withChecksum(shortEntry)).rejection()).isEqualTo(RejectionReason.MALFORMED);
        byte[] badRole = bytes.clone();
        badRole[14] = 3;
        assertThat(DatagramCodec.decode(withChecksum(badRole)).rejection()).isEqualTo(RejectionReason.MALFORMED);
    }

    @Test
    void fieldsMissingInAnEntryOfAnOlderVersionAreUnknown() {
        byte[] bytes = DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, NOW, Map.of(7, PRIMARY)));
        byte[] olderVersion = Arrays.copyOf(bytes, 10 + 7 + 4); // hash, role and its age only
        olderVersion[3] = 7;
        ServerObservation observation = DatagramCodec.decode(withChecksum(olderVersion))
                .datagram()
                .observations()
                .get(7);
        assertThat(observation)
                .isEqualTo(new ServerObservation(
                        Role.PRIMARY,
                        NOW - 5000,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME,
                        LoadReport.UNKNOWN_TIME));
    }

    @Test
    void additionalFieldsInAnEntryOfANewerVersionAreIgnored() {
        byte[] bytes = DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, NOW, Map.of(7, PRIMARY)));
        byte[] newerVersion = Arrays.copyOf(bytes, bytes.length + 3);
        newerVersion[1] = 2;
        newerVersion[3] += 3;
        assertThat(DatagramCodec.decode(withChecksum(newerVersion)).datagram().observations())
                .isEqualTo(Map.of(7, PRIMARY));
    }
}
