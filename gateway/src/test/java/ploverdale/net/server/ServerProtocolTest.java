package ploverdale.net.server;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage;

/** Checks which messages a connection accepts in which state, without sockets. */
class ServerProtocolTest {
    private static final ServerMessage.RowDescription COLUMN =
            new ServerMessage.RowDescription("val", 0, (short) 0, 17, (short) -1, -1, (short) 1);
    private static final Buffer ROW =
            MessageWriter.resultRow(new ResultRow(COLUMN, "value".getBytes(UTF_8), "SELECT 1"));
    private static final Buffer NOTICE = message('N', Buffer.buffer().appendByte((byte) 0));
    private static final Buffer COMMAND_COMPLETE =
            message('C', Buffer.buffer("SELECT 1").appendByte((byte) 0));
    private static final Buffer DATA_ROW =
            message('D', Buffer.buffer().appendShort((short) 1).appendInt(1).appendByte((byte) 'v'));

    private final RecordingConnection connection = new RecordingConnection();
    private final ServerProtocol protocol = new ServerProtocol(connection);

    /** A connection whose state the test sets, and which records what is reported to it. */
    private static final class RecordingConnection implements ServerProtocol.Listener {
        private final List<String> reported = new ArrayList<>();
        private ConnectionState state = ConnectionState.HANDSHAKE;

        @Override
        public ConnectionState state() {
            return state;
        }

        @Override
        public void onHandshakeCompleted() {
            reported.add("handshake completed");
            state = ConnectionState.ANSWERED;
        }

        @Override
        public void onHandshakeRefused(String sqlState) {
            reported.add("refused with " + sqlState);
            state = ConnectionState.CLOSED;
        }

        @Override
        public void onAnswerCompleted(boolean idle) {
            reported.add("answered, idle " + idle);
            state = ConnectionState.ANSWERED;
        }

        @Override
        public void onProtocolViolation(String reason) {
            reported.add(reason);
            state = ConnectionState.CLOSED;
        }
    }

    private static Buffer message(char type, Buffer body) {
        return Buffer.buffer()
                .appendByte((byte) type)
                .appendInt(4 + body.length())
                .appendBuffer(body);
    }

    private static Buffer readyForQuery(char transactionStatus) {
        return message('Z', Buffer.buffer().appendByte((byte) transactionStatus));
    }

    private static Buffer parameter(int number) {
        Buffer buffer = Buffer.buffer();
        MessageWriter.parameterStatus(buffer, "name" + number, "value");
        return buffer;
    }

    private void awaitAnswer() {
        connection.state = ConnectionState.AWAITING_ANSWER;
        protocol.startResponse();
    }

    @Test
    void aHandshakeIsCompletedByReadyForQuery() {
        protocol.decode(MessageWriter.startupResponse());
        assertThat(connection.reported).containsExactly("handshake completed");
    }

    @Test
    void anErrorDuringTheHandshakeRefusesTheConnection() {
        protocol.decode(MessageWriter.errorResponse("57P03", "starting up", null, true, false));
        assertThat(connection.reported).containsExactly("refused with 57P03");
    }

    @Test
    void aRowDuringTheHandshakeIsAProtocolViolation() {
        protocol.decode(ROW);
        assertThat(connection.reported).containsExactly("an answer before any query");
    }

    @Test
    void aRowIsCollectedHoweverItIsSplit() {
        awaitAnswer();
        for (int i = 0; i < ROW.length(); i++) {
            protocol.decode(ROW.getBuffer(i, i + 1));
        }
        assertThat(connection.reported).containsExactly("answered, idle true");
        assertThat(protocol.response().row().value()).isEqualTo("value".getBytes(UTF_8));
        assertThat(protocol.hasUndecodedBytes()).isFalse();
    }

    @Test
    void anOpenTransactionIsReported() {
        awaitAnswer();
        protocol.decode(COMMAND_COMPLETE.copy().appendBuffer(readyForQuery('T')));
        assertThat(connection.reported).containsExactly("answered, idle false");
    }

    @Test
    void anErrorCompletesTheAnswer() {
        awaitAnswer();
        protocol.decode(MessageWriter.errorResponse("53300", "queue full", null, false, true));
        assertThat(connection.reported).containsExactly("answered, idle true");
        assertThat(protocol.response().isRejection()).isTrue();
    }

    @Test
    void anAnswerThatNoAttemptAwaitsIsAProtocolViolation() {
        connection.state = ConnectionState.READY;
        protocol.decode(ROW);
        assertThat(connection.reported).containsExactly("an answer without a query");
    }

    @Test
    void aSecondAnswerAfterTheFirstIsAProtocolViolation() {
        awaitAnswer();
        protocol.decode(ROW.copy().appendBuffer(ROW));
        assertThat(connection.reported).containsExactly("answered, idle true", "an answer without a query");
    }

    @Test
    void aRowWithoutColumnDescriptionIsAProtocolViolation() {
        awaitAnswer();
        protocol.decode(DATA_ROW);
        assertThat(connection.reported).containsExactly("an answer out of order");
    }

    @Test
    void twoCompletionsOfOneStatementAreAProtocolViolation() {
        awaitAnswer();
        protocol.decode(COMMAND_COMPLETE.copy().appendBuffer(COMMAND_COMPLETE));
        assertThat(connection.reported).containsExactly("an answer out of order");
    }

    @Test
    void readyForQueryBeforeTheStatementHasEndedIsAProtocolViolation() {
        awaitAnswer();
        protocol.decode(readyForQuery('I'));
        assertThat(connection.reported).containsExactly("an answer out of order");
    }

    @Test
    void theNumberOfNoticesBetweenTwoRequestsIsLimited() {
        awaitAnswer();
        for (int i = 0; i < 1000; i++) {
            protocol.decode(NOTICE);
        }
        assertThat(connection.reported).isEmpty();
        protocol.decode(NOTICE);
        assertThat(connection.reported).containsExactly("1000 values and notices beside an answer");
    }

    @Test
    void theNumberOfParametersBetweenTwoRequestsIsLimited() {
        awaitAnswer();
        for (int i = 0; i < 64; i++) {
            protocol.decode(parameter(i));
        }
        assertThat(connection.reported).isEmpty();
        protocol.decode(parameter(64));
        assertThat(connection.reported).containsExactly("64 values told before an answer");
    }

    @Test
    void theLimitsApplyToEachRequestAnew() {
        for (int request = 0; request < 3; request++) {
            awaitAnswer();
            for (int i = 0; i < 64; i++) {
                protocol.decode(parameter(i));
            }
        }
        assertThat(connection.reported).isEmpty();
    }

    @Test
    void nothingIsDecodedOnceTheConnectionIsClosed() {
        connection.state = ConnectionState.CLOSED;
        protocol.decode(ROW);
        assertThat(connection.reported).isEmpty();
    }
}
