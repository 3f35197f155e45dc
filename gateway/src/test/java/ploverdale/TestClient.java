package ploverdale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.HexFormat;
import java.util.concurrent.TimeUnit;
import ploverdale.net.postgres.MessageWriter;

/** A client connection to the gateway. */
final class TestClient implements AutoCloseable {
    private final Socket socket;
    private final DataInputStream in;

    TestClient(int port) throws IOException {
        this(port, 0);
    }

    /**
     * Connects to the gateway.
     *
     * @param receiveBuffer size of the socket's receive buffer in bytes, or 0 for the system's default
     */
    TestClient(int port, int receiveBuffer) throws IOException {
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
        in = new DataInputStream(socket.getInputStream());
    }

    /** Sends the startup message and waits until the gateway is ready for a query. */
    TestClient completeStartup() throws IOException {
        write(MessageWriter.startup());
        assertThat(readResponse()).isEqualTo("ready");
        return this;
    }

    TestClient write(Buffer b) throws IOException {
        socket.getOutputStream().write(b.getBytes());
        return this;
    }

    TestClient sendQuery(String text) throws IOException {
        return write(MessageWriter.query(text));
    }

    /** Reads until the connection is closed; returns "end" after an ordinary close and "reset" after a TCP reset. */
    String readUntilClosed() throws IOException {
        try {
            while (in.read() >= 0) {
                Thread.onSpinWait();
            }
            return "end";
        } catch (SocketException e) {
            return "reset";
        }
    }

    /** Returns whether bytes have arrived that were not read yet. */
    boolean hasUnreadBytes() throws IOException {
        return in.available() > 0;
    }

    int readByte() throws IOException {
        return in.read();
    }

    /**
     * Reads up to the next ReadyForQuery or the end of the connection and returns a summary: "row" and the value in
     * hex, "empty", or the SQLSTATE and the retry time in ms, followed by "ready" or "closed".
     */
    String readResponse() throws IOException {
        StringBuilder response = new StringBuilder();
        try {
            for (int type = in.read(); type != 'Z'; type = in.read()) {
                if (type < 0) {
                    return response + "closed";
                }
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                String text = new String(body, UTF_8);
                if (type == 'D') {
                    response.append("row ")
                            .append(HexFormat.of().formatHex(body, 6, body.length))
                            .append(' ');
                } else if (type == 'I') {
                    response.append("empty ");
                } else if (type == 'E') {
                    int detail = text.indexOf("\0D");
                    response.append(text, text.indexOf("\0C") + 2, text.indexOf("\0C") + 7)
                            .append(' ')
                            .append(
                                    detail < 0
                                            ? ""
                                            : "after " + text.substring(detail + 2, text.indexOf(0, detail + 1)) + " ");
                }
            }
            in.readFully(new byte[5]);
        } catch (SocketException e) {
            return response + "closed";
        }
        return response.append("ready").toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
