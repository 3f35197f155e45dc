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

/** Encoding and decoding of PostgreSQL messages, without sockets. */
class PostgresMessagesTest {
    private static final String READ_QUERY =
            "SELECT val FROM state WHERE uid = 'k''1;/*' /* id=a1,c=page,t=north,d=480,cluster=2 */";

    static Buffer query(String text) {
        return MessageWriter.query(text);
    }

    private static Buffer startupPacket(int length, int code) {
        return Buffer.buffer().appendInt(length).appendInt(code);
    }

    private static ClientMessageReader readerAfterStartup() {
        ClientMessageReader reader = new ClientMessageReader();
        reader.feed(MessageWriter.startup());
        assertThat(reader.next()).isInstanceOf(ClientMessage.Startup.class);
        return reader;
    }

    private static String describe(ClientMessage message) {
        return message instanceof ClientMessage.RequestQuery request
                ? request.id() + " " + request.key() + " " + new String(request.text(), UTF_8)
                : String.valueOf(message);
    }

    private static List<String> decodeInPieces(Buffer stream, int pieceSize) {
        ClientMessageReader reader = new ClientMessageReader();
        List<String> messages = new ArrayList<>();
        for (int i = 0; i < stream.length(); i += pieceSize) {
            reader.feed(stream.getBuffer(i, Math.min(stream.length(), i + pieceSize)));
            for (ClientMessage message = reader.next(); message != null; message = reader.next()) {
                messages.add(describe(message));
            }
        }
        return messages;
    }

    @Test
    void clientMessagesAreDecodedAlikeHoweverTheStreamIsSplit() {
        Buffer stream = startupPacket(8, 80877103)
                .appendBuffer(MessageWriter.startup())
                .appendBuffer(query(READ_QUERY))
                .appendBuffer(query(" ; "))
                .appendBuffer(query("x".repeat(200_000)))
                .appendBuffer(query(READ_QUERY))
                .appendByte((byte) 'S')
                .appendInt(4)
                .appendByte((byte) 'X')
                .appendInt(4);
        List<String> expected = decodeInPieces(stream, stream.length());
        assertThat(expected).hasSize(8);
        assertThat(expected.get(2)).isEqualTo("a1 k''1;/* " + READ_QUERY).isEqualTo(expected.get(5));
        for (int pieceSize : new int[] {1, 2, 3, 5, 64, 4099}) {
            assertThat(decodeInPieces(stream, pieceSize))
                    .as("in pieces of %d", pieceSize)
                    .isEqualTo(expected);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {Integer.MIN_VALUE, -1, 0, 3, 2_000_000, Integer.MAX_VALUE})
    void aMessageWithAnInvalidLengthIsRejectedBeforeItsBodyArrives(int length) {
        for (char type : new char[] {'Q', 'P', 'X'}) {
            ClientMessageReader reader = readerAfterStartup();
            reader.feed(Buffer.buffer().appendByte((byte) type).appendInt(length));
            assertThat(reader.next())
                    .isInstanceOfSatisfying(
                            ClientMessage.InvalidMessage.class,
                            error -> assertThat(error.closesConnection()).isTrue());
        }
        ClientMessageReader reader = new ClientMessageReader();
        reader.feed(startupPacket(length, 196608));
        assertThat(reader.next())
                .isInstanceOfSatisfying(
                        ClientMessage.InvalidMessage.class,
                        error -> assertThat(error.closesConnection()).isTrue());
        ServerMessageReader server = new ServerMessageReader();
        server.feed(Buffer.buffer().appendByte((byte) 'D').appendInt(length));
        assertThat(server.next()).isInstanceOf(ServerMessage.Malformed.class);
    }

    /** The SQLSTATE must not be one that tells the client that a retry is safe. */
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
    void aQueryWithoutAValidRequestIsAnsweredWithAnErrorAndTheConnectionIsKept(String text, String code) {
        ClientMessageReader reader = readerAfterStartup();
        reader.feed(query(text));
        assertThat(reader.next()).isInstanceOfSatisfying(ClientMessage.InvalidMessage.class, error -> {
            assertThat(error.code()).isEqualTo(code);
            assertThat(error.closesConnection()).isFalse();
        });
    }

    @Test
    void aValueOf64KibibytesIsAcceptedAndOneByteMoreIsRejected() {
        String comment = " /* id=1,c=order,d=5 */";
        ClientMessageReader reader = readerAfterStartup();
        reader.feed(query("INSERT '\\x" + "ab".repeat(65536) + "'" + comment));
        assertThat(reader.next()).isInstanceOf(ClientMessage.RequestQuery.class);
        reader.feed(query("INSERT '\\x" + "ab".repeat(65537) + "'" + comment));
        assertThat(reader.next())
                .isInstanceOfSatisfying(
                        ClientMessage.InvalidMessage.class,
                        error -> assertThat(error.code()).isEqualTo("54000"));
        reader.feed(query(READ_QUERY));
        assertThat(reader.next()).isInstanceOf(ClientMessage.RequestQuery.class);
    }

    @Test
    void aRequestIsForwardedUnchangedExceptForItsTimeout() {
        ClientMessageReader reader = readerAfterStartup();
        reader.feed(query(READ_QUERY));
        Buffer sent = MessageWriter.request((ClientMessage.RequestQuery) reader.next(), 79);
        assertThat(sent).isEqualTo(query(READ_QUERY.replace("d=480", "d=79")));
    }

    @Test
    void theFieldsOfTheCommentAreDecoded() {
        ClientMessageReader reader = readerAfterStartup();
        reader.feed(query("SELECT 'k' /* id=z, c=page ,t=south,d=12.5,cluster=7,after=1767225600123,r=1 */"));
        assertThat(reader.next()).isInstanceOfSatisfying(ClientMessage.RequestQuery.class, request -> {
            assertThat(List.of(request.id(), request.requestClass(), request.tenant(), request.key()))
                    .containsExactly("z", "page", "south", "k");
            assertThat(request.timeoutMs()).isEqualTo(12.5);
            assertThat(request.group()).isEqualTo(7);
            assertThat(request.minPositionMs()).isEqualTo(1767225600123L);
            assertThat(request.resubmitted()).isTrue();
        });
    }

    @Test
    void aServerResponseIsDecodedAlikeHoweverItIsSplitAndATruncatedValueIsMalformed() {
        byte[] value = "va\0lue".getBytes(UTF_8);
        Buffer answer = MessageWriter.resultRow(new ResultRow(
                new ServerMessage.RowDescription("val", 0, (short) 0, 17, (short) -1, -1, (short) 1),
                value,
                "SELECT 1"));
        for (int pieceSize = 1; pieceSize <= answer.length(); pieceSize++) {
            ServerMessageReader reader = new ServerMessageReader();
            List<ServerMessage> messages = new ArrayList<>();
            for (int i = 0; i < answer.length(); i += pieceSize) {
                reader.feed(answer.getBuffer(i, Math.min(answer.length(), i + pieceSize)));
                for (ServerMessage message = reader.next(); message != null; message = reader.next()) {
                    messages.add(message);
                }
            }
            assertThat(messages).hasSize(4);
            assertThat(((ServerMessage.DataRow) messages.get(1)).bytes()).isEqualTo(value);
            assertThat(messages.get(2)).isEqualTo(new ServerMessage.CommandComplete("SELECT 1"));
            assertThat(messages.get(3)).isEqualTo(new ServerMessage.ReadyForQuery(true));
        }
        ServerMessageReader reader = new ServerMessageReader();
        reader.feed(Buffer.buffer()
                .appendByte((byte) 'D')
                .appendInt(10)
                .appendShort((short) 1)
                .appendInt(70_000));
        assertThat(reader.next()).isInstanceOf(ServerMessage.Malformed.class);
    }

    @Test
    void skippedQueriesAreCountedAsIfTheyHadBeenDecoded() {
        ClientMessageReader reader = readerAfterStartup();
        reader.feed(query(READ_QUERY)
                .appendBuffer(query(" ; "))
                .appendBuffer(query("no comment"))
                .appendByte((byte) 'S')
                .appendInt(4)
                .appendBuffer(query("x".repeat(200_000)))
                .appendBuffer(query(READ_QUERY).getBuffer(0, 20)));
        assertThat(reader.skipQueries()).isEqualTo(4);
        assertThat(reader.next()).isNull();
        reader.feed(query(READ_QUERY).getBuffer(20, query(READ_QUERY).length()).appendString("~~~~~~~~"));
        assertThat(reader.skipQueries()).isEqualTo(1);
        assertThat(reader.next().closesConnection()).isTrue();
    }

    @Test
    void theBufferIsReleasedOnceLongInputHasBeenDecoded() {
        ClientMessageReader reader = readerAfterStartup();
        reader.feed(query("x".repeat(20_000)).appendBuffer(query(READ_QUERY)));
        reader.next();
        assertThat(reader.bufferCapacity()).isGreaterThan(20_000).isGreaterThan(reader.bufferedBytes());
        reader.next();
        assertThat(reader.bufferCapacity()).isZero();
    }
}
