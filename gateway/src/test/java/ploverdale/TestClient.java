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

/** A client's connection to the gateway. */
final class TestClient implements AutoCloseable {
    private final Socket socket;
    private final DataInputStream in;

    TestClient(int port) throws IOException {
        this(port, 0);
    }

    /** One whose system takes no more than about so many bytes that it has not read, unless 0. */
    TestClient(int port, int receiveBuffer) throws IOException {
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
        in = new DataInputStream(socket.getInputStream());
    }

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

    /** Reads to the end: "end" where it is one in order, "reset" else. */
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

    /** Whether anything has come that was not read yet. */
    boolean hasUnreadBytes() throws IOException {
        return in.available() > 0;
    }

    int readByte() throws IOException {
        return in.read();
    }

    /** What came up to the next ReadyForQuery or the end: the value in hex, the code with its time, or a word. */
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
                            .append(detail < 0 ? "" : "after " + text.substring(detail + 2, text.indexOf(0, detail + 1)) + " ");
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
