import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Encodes and reads messages of version 3 of the PostgreSQL protocol, as far as the protocol page uses it. */
final class Wire {
    /** One message: its type and its body. */
    record Message(char type, byte[] body) {}

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    byte[] bytes() {
        return bytes.toByteArray();
    }

    private Wire message(char type, Body body) {
        try {
            ByteArrayOutputStream content = new ByteArrayOutputStream();
            body.write(new DataOutputStream(content));
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeByte(type);
            out.writeInt(content.size() + 4);
            content.writeTo(out);
            return this;
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private interface Body {
        void write(DataOutputStream out) throws IOException;
    }

    private static void text(DataOutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.writeByte(0);
    }

    Wire authenticationOk() {
        return message('R', out -> out.writeInt(0));
    }

    Wire parameter(String name, String value) {
        return message('S', out -> {
            text(out, name);
            text(out, value);
        });
    }

    Wire ready() {
        return message('Z', out -> out.writeByte('I'));
    }

    Wire emptyQueryResponse() {
        return message('I', out -> {});
    }

    Wire row(byte[] value, String tag) {
        message('T', out -> {
            out.writeShort(1);
            text(out, "val");
            out.writeInt(0);
            out.writeShort(0);
            out.writeInt(17);
            out.writeShort(-1);
            out.writeInt(-1);
            out.writeShort(1);
        });
        message('D', out -> {
            out.writeShort(1);
            out.writeInt(value.length);
            out.write(value);
        });
        return complete(tag);
    }

    Wire complete(String tag) {
        return message('C', out -> text(out, tag));
    }

    Wire error(String code, String text) {
        return message('E', out -> {
            for (String field : new String[] {"SERROR", "VERROR", "C" + code, "M" + text}) {
                text(out, field);
            }
            out.writeByte(0);
        });
    }

    Wire query(String query) {
        return message('Q', out -> text(out, query));
    }

    static byte[] startup() {
        try {
            ByteArrayOutputStream content = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(content);
            out.writeInt(3 << 16);
            for (String word : new String[] {"user", "client", "database", "core"}) {
                text(out, word);
            }
            out.writeByte(0);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            new DataOutputStream(all).writeInt(content.size() + 4);
            content.writeTo(all);
            return all.toByteArray();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    static void readStartup(DataInputStream in) throws IOException {
        in.readNBytes(in.readInt() - 4);
    }

    static Message read(DataInputStream in) throws IOException {
        char type = (char) in.readUnsignedByte();
        int length = in.readInt();
        byte[] body = new byte[length - 4];
        in.readFully(body);
        return new Message(type, body);
    }

    /** Returns a field of an ErrorResponse; an empty string if it is not there. */
    static String errorField(byte[] body, char field) {
        int at = 0;
        while (at < body.length && body[at] != 0) {
            int end = at;
            while (body[end] != 0) {
                end++;
            }
            if (body[at] == field) {
                return new String(body, at + 1, end - at - 1, StandardCharsets.UTF_8);
            }
            at = end + 1;
        }
        return "";
    }
}
