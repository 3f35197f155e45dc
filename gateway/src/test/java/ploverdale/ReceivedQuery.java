package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage;

/**
 * A query that a fake database server received, with the responses that a test may send to it.
 *
 * @param closed released when the gateway has closed the connection
 */
record ReceivedQuery(FakeDatabaseServer server, Socket socket, String text, CountDownLatch closed) {
    void sendRow(byte[] value) throws IOException {
        sendRow(value, Buffer.buffer());
    }

    /** Sends a row and further bytes in the same write. */
    void sendRow(byte[] value, Buffer trailingBytes) throws IOException {
        FakeDatabaseServer.write(socket, resultMessages(value).appendBuffer(trailingBytes), false);
    }

    /** Returns all messages of a successful response with this value, ReadyForQuery included. */
    Buffer resultMessages(byte[] value) {
        Buffer b = Buffer.buffer();
        MessageWriter.parameterStatus(b, "rank", server.primary ? "source" : "copy");
        if (server.loadReportOverride == null) {
            MessageWriter.parameterStatus(b, "as_of", Long.toString(System.currentTimeMillis()));
        }
        MessageWriter.parameterStatus(b, "vitals", server.loadReport());
        return b.appendBuffer(MessageWriter.resultRow(new ResultRow(
                new ServerMessage.RowDescription("val", 0, (short) 0, 17, (short) -1, -1, (short) 1),
                value,
                "SELECT 1")));
    }

    /** Sends an error response with this SQLSTATE. */
    void sendError(String code) throws IOException {
        FakeDatabaseServer.write(socket, MessageWriter.errorResponse(code, "no", null, false, true), false);
    }

    void resetConnection() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Waits until the gateway has closed the connection. */
    void awaitClosedByGateway() throws InterruptedException {
        assertThat(closed.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                .as("the gateway closes the connection")
                .isTrue();
    }
}
