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

/** What fits a datagram, and which datagrams are rejected. */
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

    private static byte[] checked(byte[] b) {
        CRC32C crc = new CRC32C();
        crc.update(b, 0, b.length - 4);
        ByteBuffer.wrap(b).putInt(b.length - 4, (int) crc.getValue());
        return b;
    }

    @Test
    void aFullDatagramFits() {
        Map<Integer, ServerObservation> observations = new LinkedHashMap<>();
        for (int i = 0; i < DatagramCodec.MAX_OBSERVATIONS; i++) {
            observations.put(ServerHash.of(new ServerId("s-" + i)), PRIMARY);
        }
        byte[] b = DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, NOW, observations));
        assertThat(b.length).isLessThanOrEqualTo(256).isGreaterThan(220);
        assertThat(DatagramCodec.decode(b).datagram()).isEqualTo(new Datagram(Kind.OBSERVATIONS, NOW, observations));
    }

    @Property(seed = "11")
    void noiseIsRejectedAndNeverThrows(@ForAll byte[] noise) {
        assertThat(DatagramCodec.decode(noise).datagram()).isNull();
        if (noise.length > 0) {
            noise[0] = (byte) 0xB1;
        }
        if (noise.length >= 14) {
            DatagramCodec.DecodeResult read = DatagramCodec.decode(checked(noise)); // with a sound checksum
            assertThat(read.datagram() == null).isNotEqualTo(read.rejection() == null);
        }
    }

    @Test
    void truncatedDamagedAndForeignDatagramsAreRejectedWithTheReason() {
        byte[] b = DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, NOW, Map.of(7, PRIMARY)));
        for (int n = 0; n < b.length; n++) {
            assertThat(DatagramCodec.decode(Arrays.copyOf(b, n)).rejection())
                    .isIn(RejectionReason.TOO_SHORT, RejectionReason.WRONG_CHECKSUM);
        }
        assertThat(DatagramCodec.decode(new byte[257]).rejection()).isEqualTo(RejectionReason.TOO_LONG);
        byte[] damaged = b.clone();
        damaged[15] ^= 1;
        assertThat(DatagramCodec.decode(damaged).rejection()).isEqualTo(RejectionReason.WRONG_CHECKSUM);
        byte[] foreign = b.clone();
        foreign[0] = 'x';
        assertThat(DatagramCodec.decode(foreign).rejection()).isEqualTo(RejectionReason.WRONG_MAGIC);
        byte[] versionZero = b.clone();
        versionZero[1] = 0;
        assertThat(DatagramCodec.decode(checked(versionZero)).rejection()).isEqualTo(RejectionReason.UNKNOWN_VERSION);
        byte[] shortEntry = b.clone();
        shortEntry[3] = 5;
        assertThat(DatagramCodec.decode(checked(shortEntry)).rejection()).isEqualTo(RejectionReason.MALFORMED);
        byte[] badRole = b.clone();
        badRole[14] = 3;
        assertThat(DatagramCodec.decode(checked(badRole)).rejection()).isEqualTo(RejectionReason.MALFORMED);
    }

    @Test
    void fieldsThatAnOlderVersionsEntryLacksAreUnknown() {
        byte[] b = DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, NOW, Map.of(7, PRIMARY)));
        byte[] older = Arrays.copyOf(b, 10 + 7 + 4); // number, role and its age only
        older[3] = 7;
        ServerObservation observation =
                DatagramCodec.decode(checked(older)).datagram().observations().get(7);
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
    void unknownFieldsOfANewerVersionsEntryAreIgnored() {
        byte[] b = DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, NOW, Map.of(7, PRIMARY)));
        byte[] newer = Arrays.copyOf(b, b.length + 3);
        newer[1] = 2;
        newer[3] += 3;
        assertThat(DatagramCodec.decode(checked(newer)).datagram().observations())
                .isEqualTo(Map.of(7, PRIMARY));
    }
}
