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
import ploverdale.gossip.Datagram.Refusal;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;

/** What fits a datagram, and what is not read. */
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
    void aFullOneFits() {
        Map<Integer, ServerObservation> words = new LinkedHashMap<>();
        for (int i = 0; i < Datagram.ENTRIES_MOST; i++) {
            words.put(Datagram.number(new ServerId("s-" + i)), PRIMARY);
        }
        byte[] b = new Datagram(Kind.TELLS, NOW, words).bytes();
        assertThat(b.length).isLessThanOrEqualTo(256).isGreaterThan(220);
        assertThat(Datagram.read(b).datagram()).isEqualTo(new Datagram(Kind.TELLS, NOW, words));
    }

    @Property(seed = "11")
    void noiseIsRefusedAndNeverThrows(@ForAll byte[] noise) {
        assertThat(Datagram.read(noise).datagram()).isNull();
        if (noise.length > 0) {
            noise[0] = (byte) 0xB1;
        }
        if (noise.length >= 14) {
            Datagram.Read read = Datagram.read(checked(noise)); // forged well, but for what it says
            assertThat(read.datagram() == null).isNotEqualTo(read.refusal() == null);
        }
    }

    @Test
    void truncatedForgedAndForeignOnesAreTold() {
        byte[] b = new Datagram(Kind.TELLS, NOW, Map.of(7, PRIMARY)).bytes();
        for (int n = 0; n < b.length; n++) {
            assertThat(Datagram.read(Arrays.copyOf(b, n)).refusal()).isIn(Refusal.TOO_SHORT, Refusal.CHECKSUM);
        }
        assertThat(Datagram.read(new byte[257]).refusal()).isEqualTo(Refusal.TOO_LONG);
        byte[] forged = b.clone();
        forged[15] ^= 1;
        assertThat(Datagram.read(forged).refusal()).isEqualTo(Refusal.CHECKSUM);
        byte[] foreign = b.clone();
        foreign[0] = 'x';
        assertThat(Datagram.read(foreign).refusal()).isEqualTo(Refusal.NOT_OURS);
        byte[] nothing = b.clone();
        nothing[1] = 0;
        assertThat(Datagram.read(checked(nothing)).refusal()).isEqualTo(Refusal.VERSION);
        byte[] short1 = b.clone();
        short1[3] = 5;
        assertThat(Datagram.read(checked(short1)).refusal()).isEqualTo(Refusal.MISSHAPEN);
        byte[] badRole = b.clone();
        badRole[14] = 3;
        assertThat(Datagram.read(checked(badRole)).refusal()).isEqualTo(Refusal.MISSHAPEN);
    }

    @Test
    void anOlderVersionsEntryIsReadAsFarAsItGoes() {
        byte[] b = new Datagram(Kind.TELLS, NOW, Map.of(7, PRIMARY)).bytes();
        byte[] older = Arrays.copyOf(b, 10 + 7 + 4); // number, role and its age only
        older[3] = 7;
        ServerObservation w = Datagram.read(checked(older)).datagram().words().get(7);
        assertThat(w)
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
    void aNewerVersionsEntryIsReadAsFarAsItIsKnown() {
        byte[] b = new Datagram(Kind.TELLS, NOW, Map.of(7, PRIMARY)).bytes();
        byte[] newer = Arrays.copyOf(b, b.length + 3);
        newer[1] = 2;
        newer[3] += 3;
        assertThat(Datagram.read(checked(newer)).datagram().words()).isEqualTo(Map.of(7, PRIMARY));
    }
}
