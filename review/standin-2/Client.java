import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One client connection, as the protocol page describes it. */
final class Client implements AutoCloseable {
    /** What came back before ReadyForQuery: a row (value is not null), or an error with its code. */
    record Answer(byte[] value, String code, String text) {
        boolean served() {
            return value != null;
        }

        String words() {
            return served() ? "served '" + new String(value, StandardCharsets.UTF_8) + "'" : code + " " + text;
        }
    }

    private final Socket socket = new Socket();
    private final DataInputStream in;

    Client(InetSocketAddress gateway) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(gateway, 2000);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
        send(Wire.startup());
        while (Wire.read(in).type() != 'Z') {
            continue;
        }
    }

    void timeout(int ms) throws IOException {
        socket.setSoTimeout(ms);
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    void query(String text) throws IOException {
        send(new Wire().query(text).bytes());
    }

    Answer answer() throws IOException {
        byte[] value = null;
        String code = "";
        String text = "";
        while (true) {
            Wire.Message message = Wire.read(in);
            switch (message.type()) {
                case 'D' -> {
                    value = new byte[message.body().length - 6];
                    System.arraycopy(message.body(), 6, value, 0, value.length);
                }
                case 'E' -> {
                    value = null;
                    code = Wire.errorField(message.body(), 'C');
                    text = Wire.errorField(message.body(), 'M');
                    if (Wire.errorField(message.body(), 'S').equals("FATAL")) {
                        return new Answer(null, code, text);
                    }
                }
                case 'I' -> code = "empty";
                case 'Z' -> {
                    return new Answer(value, code, text);
                }
                default -> {}
            }
        }
    }

    static String read(String id, String type, String key, long d, String more) {
        return "SELECT val FROM state WHERE uid = '" + key + "' /* id=" + id + ",c=" + type + ",d=" + d
                + ",cluster=0" + more + " */";
    }

    static String write(String id, String type, String key, String value, long d) {
        return "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x" + hex(value) + "') RETURNING val /* id=" + id
                + ",c=" + type + ",d=" + d + ",cluster=0 */";
    }

    private static String hex(String value) {
        StringBuilder hex = new StringBuilder();
        for (byte b : value.getBytes(StandardCharsets.UTF_8)) {
            hex.append(String.format("%02x", b));
        }
        return hex.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
