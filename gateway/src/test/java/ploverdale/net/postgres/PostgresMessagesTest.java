package ploverdale.net.postgres;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The codec alone: no sockets. */
class PostgresMessagesTest {
    private static final String READ =
            "SELECT val FROM state WHERE uid = 'k''1;/*' /* id=a1,c=page,t=north,d=480,cluster=2 */";

    static Buffer query(String text) {
        return MessageWriter.query(text);
    }

    private static Buffer first(int length, int code) {
        return Buffer.buffer().appendInt(length).appendInt(code);
    }

    private static ClientMessageReader greeted() {
        ClientMessageReader s = new ClientMessageReader();
        s.feed(MessageWriter.startup());
        assertThat(s.next()).isInstanceOf(ClientMessage.Startup.class);
        return s;
    }

    private static String told(ClientMessage m) {
        return m instanceof ClientMessage.RequestQuery o
                ? o.id() + " " + o.key() + " " + new String(o.text(), UTF_8)
                : String.valueOf(m);
    }

    private static List<String> read(Buffer all, int piece) {
        ClientMessageReader s = new ClientMessageReader();
        List<String> out = new ArrayList<>();
        for (int i = 0; i < all.length(); i += piece) {
            s.feed(all.getBuffer(i, Math.min(all.length(), i + piece)));
            for (ClientMessage m = s.next(); m != null; m = s.next()) {
                out.add(told(m));
            }
        }
        return out;
    }

    @Test
    void aClientsBytesMeanTheSameHoweverTheyAreSplit() {
        Buffer all = first(8, 80877103)
                .appendBuffer(MessageWriter.startup())
                .appendBuffer(query(READ))
                .appendBuffer(query(" ; "))
                .appendBuffer(query("x".repeat(200_000)))
                .appendBuffer(query(READ))
                .appendByte((byte) 'S')
                .appendInt(4)
                .appendByte((byte) 'X')
                .appendInt(4);
        List<String> whole = read(all, all.length());
        assertThat(whole).hasSize(8);
        assertThat(whole.get(2)).isEqualTo("a1 k''1;/* " + READ).isEqualTo(whole.get(5));
        for (int piece : new int[] {1, 2, 3, 5, 64, 4099}) {
            assertThat(read(all, piece)).as("in pieces of %d", piece).isEqualTo(whole);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {Integer.MIN_VALUE, -1, 0, 3, 2_000_000, Integer.MAX_VALUE})
    void aHostileLengthEndsTheConnectionBeforeAnythingIsSetAside(int length) {
        for (char type : new char[] {'Q', 'P', 'X'}) {
            ClientMessageReader s = greeted();
            s.feed(Buffer.buffer().appendByte((byte) type).appendInt(length));
            assertThat(s.next())
                    .isInstanceOfSatisfying(
                            ClientMessage.InvalidQuery.class,
                            b -> assertThat(b.endsConnection()).isTrue());
        }
        ClientMessageReader s = new ClientMessageReader();
        s.feed(first(length, 196608));
        assertThat(s.next())
                .isInstanceOfSatisfying(
                        ClientMessage.InvalidQuery.class,
                        b -> assertThat(b.endsConnection()).isTrue());
        ServerMessageReader server = new ServerMessageReader();
        server.feed(Buffer.buffer().appendByte((byte) 'D').appendInt(length));
        assertThat(server.next()).isInstanceOf(ServerMessage.Malformed.class);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "SELECT 1 | 42601",
                "SELECT 1 /* id=1,c=page,d=5 | 42601",
                "SELECT 'x /* id=1,c=page,d=5 */ | 42601",
                "SELECT 1; SELECT 2 /* id=1,c=page,d=5 */ | 42601",
                "SELECT 1 /* c=page,d=5 */ | 22023",
                "SELECT 1 /* id=1,c=page */ | 22023",
                "SELECT 1 /* id=1,c=page,d=soon */ | 22023",
                "SELECT 1 /* id=1,c=page,d=0 */ | 22023",
                "SELECT 1 /* id=1,c=page,d=-5 */ | 22023",
                "SELECT 1 /* id=1,c=page,d=5,cluster=x */ | 22023",
                "SELECT 1 /* id=1,c=page,d=1e99 */ | 22023"
            })
    void aQueryThatNamesNoOpIsAnsweredWithACodeThatNeverMeansRefused(String text, String code) {
        ClientMessageReader s = greeted();
        s.feed(query(text));
        assertThat(s.next()).isInstanceOfSatisfying(ClientMessage.InvalidQuery.class, b -> {
            assertThat(b.code()).isEqualTo(code);
            assertThat(b.endsConnection()).isFalse();
        });
    }

    @Test
    void aValueOfSixtyFourKiloBytesPassesAndOneByteMoreDoesNot() {
        String comment = " /* id=1,c=order,d=5 */";
        ClientMessageReader s = greeted();
        s.feed(query("INSERT '\\x" + "ab".repeat(65536) + "'" + comment));
        assertThat(s.next()).isInstanceOf(ClientMessage.RequestQuery.class);
        s.feed(query("INSERT '\\x" + "ab".repeat(65537) + "'" + comment));
        assertThat(s.next())
                .isInstanceOfSatisfying(
                        ClientMessage.InvalidQuery.class,
                        b -> assertThat(b.code()).isEqualTo("54000"));
        s.feed(query(READ));
        assertThat(s.next()).isInstanceOf(ClientMessage.RequestQuery.class);
    }

    @Test
    void theStatementGoesOnUnchangedButForTheWait() {
        ClientMessageReader s = greeted();
        s.feed(query(READ));
        Buffer sent = MessageWriter.request((ClientMessage.RequestQuery) s.next(), 79);
        assertThat(sent).isEqualTo(query(READ.replace("d=480", "d=79")));
    }

    @Test
    void anOpAskHoldsWhatItsCommentSays() {
        ClientMessageReader s = greeted();
        s.feed(query("SELECT 'k' /* id=z, c=page ,t=south,d=12.5,cluster=7,after=1767225600123,r=1 */"));
        assertThat(s.next()).isInstanceOfSatisfying(ClientMessage.RequestQuery.class, o -> {
            assertThat(List.of(o.id(), o.requestClass(), o.tenant(), o.key()))
                    .containsExactly("z", "page", "south", "k");
            assertThat(o.timeoutMs()).isEqualTo(12.5);
            assertThat(o.group()).isEqualTo(7);
            assertThat(o.afterMs()).isEqualTo(1767225600123L);
            assertThat(o.again()).isTrue();
        });
    }

    @Test
    void aServersAnswerMeansTheSameHoweverItIsSplitAndAShortOneIsGarbled() {
        byte[] value = "va\0lue".getBytes(UTF_8);
        Buffer answer = MessageWriter.resultRow(new ResultRow(
                new ServerMessage.RowDescription("val", 0, (short) 0, 17, (short) -1, -1, (short) 1),
                value,
                "SELECT 1"));
        for (int piece = 1; piece <= answer.length(); piece++) {
            ServerMessageReader s = new ServerMessageReader();
            List<ServerMessage> out = new ArrayList<>();
            for (int i = 0; i < answer.length(); i += piece) {
                s.feed(answer.getBuffer(i, Math.min(answer.length(), i + piece)));
                for (ServerMessage m = s.next(); m != null; m = s.next()) {
                    out.add(m);
                }
            }
            assertThat(out).hasSize(4);
            assertThat(((ServerMessage.DataRow) out.get(1)).bytes()).isEqualTo(value);
            assertThat(out.get(2)).isEqualTo(new ServerMessage.CommandComplete("SELECT 1"));
            assertThat(out.get(3)).isEqualTo(new ServerMessage.ReadyForQuery(true));
        }
        ServerMessageReader s = new ServerMessageReader();
        s.feed(Buffer.buffer()
                .appendByte((byte) 'D')
                .appendInt(10)
                .appendShort((short) 1)
                .appendInt(70_000));
        assertThat(s.next()).isInstanceOf(ServerMessage.Malformed.class);
    }
}
