package ploverdale.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import ploverdale.clock.Clock;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.ClientMessageReader;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage;

/**
 * The fake database server of the warm-up: answers each query with a load report as its row, and closes each connection
 * after a few answers, so that opening connections is warmed up as well.
 */
final class WarmUpServer {
    /** The name of the column of each answer. */
    static final String COLUMN = "val";

    private static final int ANSWERS_PER_CONNECTION = 2;
    private static final int BYTEA_TYPE = 17; // the type's OID in PostgreSQL
    private static final long MS_PER_SECOND = 1000;

    private final Clock clock;

    WarmUpServer(Clock clock) {
        this.clock = clock;
    }

    /** Serves a connection. */
    void accept(NetSocket socket) {
        socket.handler(new Connection(socket)::onBytes);
    }

    private Buffer answer() {
        long nowMs = clock.now() / 10; // this server's wall clock shows service time
        String fraction = ("" + (MS_PER_SECOND + nowMs % MS_PER_SECOND)).substring(1);
        String loadReport = "x0=" + nowMs / MS_PER_SECOND + "." + fraction + ",x1=1,util=0.1";
        Buffer answer = Buffer.buffer();
        MessageWriter.parameterStatus(answer, "rank", "source");
        MessageWriter.parameterStatus(answer, "as_of", Long.toString(nowMs));
        MessageWriter.parameterStatus(answer, "vitals", loadReport);
        ServerMessage.RowDescription description =
                new ServerMessage.RowDescription(COLUMN, 0, (short) 0, BYTEA_TYPE, (short) -1, -1, (short) 1);
        byte[] value = loadReport.getBytes(StandardCharsets.UTF_8);
        return answer.appendBuffer(MessageWriter.resultRow(new ResultRow(description, value, "SELECT 1")));
    }

    /** One connection of the gateway. */
    private final class Connection {
        private final NetSocket socket;
        private final ClientMessageReader reader = new ClientMessageReader();
        private int answers;

        private Connection(NetSocket socket) {
            this.socket = socket;
        }

        private void onBytes(Buffer bytes) {
            reader.feed(bytes);
            for (ClientMessage message = reader.next(); message != null; message = reader.next()) {
                if (message instanceof ClientMessage.Startup) {
                    socket.write(MessageWriter.startupResponse());
                    continue;
                }
                socket.write(answer());
                answers++;
                if (answers == ANSWERS_PER_CONNECTION) {
                    socket.close();
                    return;
                }
            }
        }
    }
}
