package ploverdale.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.vertx.core.buffer.Buffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Owns the bytes of version 3 of the PostgreSQL protocol: cuts a stream into messages, decodes each once into a
 * small typed value, and encodes each that is written once. Must never touch a socket, hold a connection's
 * state beyond bytes not yet cut, set aside memory for a length it has not checked, or throw at what it reads.
 */
public final class PgCodec {
    public static final int VALUE_MOST = 64 * 1024;
    private static final int HELLO_MOST = 10_000;
    private static final int ASK_MOST = 2 * VALUE_MOST + 8 * 1024; // hex takes two characters a byte
    private static final int CANCEL_LENGTH = 16;
    private static final int SKIP_MOST = 1024 * 1024; // longer ones end the connection unread
    private static final int TOLD_MOST = VALUE_MOST + 8 * 1024;

    private PgCodec() {}

    // -- What clients say

    /** A message of a client. */
    public sealed interface FromClient {}

    /** The startup message. */
    public record Hello() implements FromClient {}

    /** SSLRequest or GSSENCRequest. */
    public record WantsCover() implements FromClient {}

    /** Terminate. */
    public record Bye() implements FromClient {}

    /** CancelRequest: names the connection whose requests are to be cancelled by its BackendKeyData. */
    public record Cancel(int process, int secret) implements FromClient {}

    /** A query without any statement. */
    public record EmptyAsk() implements FromClient {}

    /** A query for an op; the text is kept as it came, with the place of the number that d states. */
    public record OpAsk(String id, String type, String tenant, long group, String key, double waitMs, boolean again,
            long afterMs, byte[] text, int waitFrom, int waitTo) implements FromClient {}

    /** A message of the extended protocol, or a function call, which are not spoken here. */
    public record NotSpoken(boolean untilSync) implements FromClient {}

    /** The end of a run of extended messages. */
    public record Sync() implements FromClient {}

    /** Something not acceptable; the connection goes on unless it ends with this. */
    public record BadAsk(String code, String text, boolean ends) implements FromClient {}

    /** Cuts and decodes what one client writes. */
    public static final class ClientStream {
        private final Frames frames = new Frames();
        private boolean greeted;

        public void feed(Buffer more) {
            frames.feed(more);
        }

        public boolean greeted() {
            return greeted;
        }

        /** Lets go of what was not cut. */
        public void clear() {
            frames.drop(frames.size());
        }

        /** Bytes come and not yet cut. */
        public int held() {
            return frames.size();
        }

        /**
         * Skips the message at the head of the stream, which is incomplete or unacceptable; false, with nothing skipped, where
         * its header is missing or its length cannot be believed, so that no later message can be found.
         */
        public boolean skipMessage() {
            if (!greeted || !frames.skipped() || frames.size() < 5) {
                return false;
            }
            int length = frames.int32(1);
            if (length < 4 || length > SKIP_MOST) {
                return false;
            }
            frames.skip(1 + length);
            return true;
        }

        /** The next message, or null until more bytes have come. */
        public FromClient next() {
            return greeted ? nextMessage() : nextHello();
        }

        private FromClient nextHello() {
            if (frames.size() < 4) {
                return null;
            }
            int length = frames.int32(0);
            if (length < 8 || length > HELLO_MOST) {
                return new BadAsk("08P01", "a first message of " + length + " bytes", true);
            }
            if (frames.size() < length) {
                return null;
            }
            int code = frames.int32(4);
            boolean cancels = code == 80877102 && length == CANCEL_LENGTH;
            FromClient cancel = cancels ? new Cancel(frames.int32(8), frames.int32(12)) : new Bye();
            frames.drop(length);
            if (code == 80877103 || code == 80877104) {
                return new WantsCover();
            }
            if (code == 80877102) {
                return cancel;
            }
            greeted = code >> 16 == 3;
            return greeted ? new Hello()
                    : new BadAsk("0A000", "protocol " + (code >> 16) + "." + (code & 0xffff) + " is not spoken", true);
        }

        private FromClient nextMessage() {
            if (!frames.skipped() || frames.size() < 5) {
                return null;
            }
            char type = (char) frames.int8(0);
            int length = frames.int32(1);
            if ("QXSPBDECHFdcfp".indexOf(type) < 0) {
                return new BadAsk("08P01", "an unknown message type " + (int) type, true);
            }
            if (length < 4 || length > SKIP_MOST) {
                return new BadAsk("08P01", "a message of " + length + " bytes", true);
            }
            if (type == 'Q' && length > ASK_MOST) {
                frames.skip(1 + length);
                return new BadAsk("54000", "a query of " + length + " bytes, " + ASK_MOST + " at most", false);
            }
            if (type != 'Q') {
                frames.skip(1 + length);
                return type == 'X' ? new Bye() : type == 'S' ? new Sync() : new NotSpoken(type != 'F');
            }
            if (frames.size() < 1 + length) {
                return null;
            }
            byte[] text = frames.bytes(5, Math.max(0, length - 5));
            boolean whole = length >= 5 && frames.int8(length) == 0;
            frames.drop(1 + length);
            return whole ? Statement.read(text) : new BadAsk("08P01", "a query without its closing zero", false);
        }
    }

    /** Reads the one statement of a query and the comment behind it. */
    private static final class Statement {
        private final byte[] text;
        private int commentFrom = -1;
        private int commentTo = -1;
        private String key;
        private boolean spoken;
        private boolean ended;
        private BadAsk bad;

        private Statement(byte[] text) {
            this.text = text;
        }

        static FromClient read(byte[] text) {
            Statement s = new Statement(text);
            s.scan();
            return s.bad != null ? s.bad : !s.spoken ? new EmptyAsk() : s.op();
        }

        private void scan() {
            for (int i = 0; i < text.length && bad == null; i++) {
                byte b = text[i];
                if (b == '/' && i + 1 < text.length && text[i + 1] == '*') {
                    int end = i + 2;
                    while (end + 1 < text.length && !(text[end] == '*' && text[end + 1] == '/')) {
                        end++;
                    }
                    if (end + 1 >= text.length) {
                        bad = new BadAsk("42601", "a comment that does not end", false);
                        return;
                    }
                    commentFrom = i + 2;
                    commentTo = end;
                    i = end + 1;
                } else if (b == 0) {
                    bad = new BadAsk("42601", "a zero byte within a query", false);
                } else if (b == ';') {
                    ended = spoken;
                } else if (b > ' ' || b < 0) {
                    if (ended) {
                        bad = new BadAsk("42601", "more than one statement in a query", false);
                    }
                    spoken = true;
                    i = b == '\'' || b == '"' ? quoted(i, b) : i;
                }
            }
        }

        private int quoted(int from, byte quote) {
            int i = from + 1;
            while (i < text.length && (text[i] != quote || i + 1 < text.length && text[i + 1] == quote)) {
                i += text[i] == quote ? 2 : 1;
            }
            boolean hex = i - from > 2 && text[from + 1] == '\\' && text[from + 2] == 'x';
            if (i >= text.length) {
                bad = new BadAsk("42601", "a quoted text that does not end", false);
            } else if (i - from - 1 > (hex ? 2 + 2 * VALUE_MOST : VALUE_MOST)) {
                bad = new BadAsk("54000", "a value over " + VALUE_MOST + " bytes", false);
            } else if (quote == '\'' && !hex && key == null) {
                key = new String(text, from + 1, i - from - 1, UTF_8);
            }
            return i;
        }

        private FromClient op() {
            if (commentFrom < 0) {
                return new BadAsk("42601", "a query without the comment that names its op", false);
            }
            Map<String, String> told = new HashMap<>();
            int waitFrom = -1;
            int waitTo = -1;
            for (int i = commentFrom; i < commentTo; ) {
                int end = i;
                int equals = -1;
                while (end < commentTo && text[end] != ',') {
                    equals = equals < 0 && text[end] == '=' ? end : equals;
                    end++;
                }
                int from = i;
                int to = end;
                while (from < to && text[from] == ' ') {
                    from++;
                }
                while (to > from && text[to - 1] == ' ') {
                    to--;
                }
                if (equals > from && equals < to) {
                    String name = new String(text, from, equals - from, UTF_8);
                    told.put(name, new String(text, equals + 1, to - equals - 1, UTF_8));
                    waitFrom = name.equals("d") ? equals + 1 : waitFrom;
                    waitTo = name.equals("d") ? to : waitTo;
                }
                i = end + 1;
            }
            for (String name : new String[] {"id", "c", "d"}) {
                if (told.getOrDefault(name, "").isEmpty()) {
                    return new BadAsk("22023", "a comment without " + name, false);
                }
            }
            double wait = number(told.get("d"));
            double group = number(told.getOrDefault("cluster", "0"));
            double after = number(told.getOrDefault("after", "0"));
            if (Double.isNaN(wait) || Double.isNaN(group) || Double.isNaN(after)) {
                return new BadAsk("22023", "a number that is none", false);
            }
            if (wait <= 0 || wait > 1e9) {
                return new BadAsk("22023", "a wait of " + wait + " ms", false);
            }
            return new OpAsk(told.get("id"), told.get("c"), told.getOrDefault("t", ""), (long) group, key, wait,
                    told.getOrDefault("r", "0").equals("1"), (long) after, text, waitFrom, waitTo);
        }

        private static double number(String text) {
            boolean plain = !text.isEmpty() && text.length() < 24;
            for (int i = 0; plain && i < text.length(); i++) {
                plain = "0123456789.-".indexOf(text.charAt(i)) >= 0;
            }
            try {
                return plain ? Double.parseDouble(text) : Double.NaN;
            } catch (NumberFormatException e) {
                return Double.NaN;
            }
        }
    }

    // -- What is said to clients

    /** The answer to a startup message, with a BackendKeyData that no cancel message is matched with. */
    public static Buffer welcome() {
        return welcome(0, 0);
    }

    /** The answer to a startup message; a CancelRequest names the connection by these two numbers. */
    public static Buffer welcome(int process, int secret) {
        Buffer b = Buffer.buffer(128);
        b.appendByte((byte) 'R').appendInt(8).appendInt(0);
        told(b, "server_version", "15.0");
        told(b, "client_encoding", "UTF8");
        told(b, "standard_conforming_strings", "on");
        b.appendByte((byte) 'K').appendInt(12).appendInt(process).appendInt(secret);
        return ready(b);
    }

    /** A ParameterStatus. */
    public static void told(Buffer b, String name, String value) {
        b.appendByte((byte) 'S').appendInt(6 + name.length() + value.length());
        b.appendString(name).appendByte((byte) 0).appendString(value).appendByte((byte) 0);
    }

    private static Buffer ready(Buffer b) {
        return b.appendByte((byte) 'Z').appendInt(5).appendByte((byte) 'I');
    }

    /** The answer to a Sync. */
    public static Buffer synced() {
        return ready(Buffer.buffer(6));
    }

    /** The answer to an empty query. */
    public static Buffer emptyDone() {
        return ready(Buffer.buffer(11).appendByte((byte) 'I').appendInt(4));
    }

    /** The value as the database server gave it. */
    public static Buffer acked(Row row) {
        int size = row.value() == null ? 0 : row.value().length;
        byte[] name = row.column().name().getBytes(UTF_8);
        byte[] tag = row.tag().getBytes(UTF_8);
        Buffer b = Buffer.buffer(size + name.length + tag.length + 64);
        b.appendByte((byte) 'T').appendInt(6 + name.length + 19).appendShort((short) 1);
        b.appendBytes(name).appendByte((byte) 0).appendInt(row.column().table()).appendShort(row.column().number());
        b.appendInt(row.column().type()).appendShort(row.column().size()).appendInt(row.column().modifier());
        b.appendShort(row.column().format());
        b.appendByte((byte) 'D').appendInt(10 + size).appendShort((short) 1).appendInt(row.value() == null ? -1 : size);
        if (row.value() != null) {
            b.appendBytes(row.value());
        }
        b.appendByte((byte) 'C').appendInt(5 + tag.length).appendBytes(tag).appendByte((byte) 0);
        return ready(b);
    }

    /** An ErrorResponse; the detail may be null. Without ReadyForQuery where the connection ends with it. */
    public static Buffer problem(String code, String text, String detail, boolean ends, boolean ready) {
        Buffer fields = Buffer.buffer(128);
        String[] all = {"S", ends ? "FATAL" : "ERROR", "V", ends ? "FATAL" : "ERROR", "C", code, "M", text, "D", detail};
        for (int i = 0; i < all.length; i += 2) {
            if (all[i + 1] != null) {
                fields.appendString(all[i]).appendString(all[i + 1]).appendByte((byte) 0);
            }
        }
        fields.appendByte((byte) 0);
        Buffer b = Buffer.buffer(fields.length() + 16);
        b.appendByte((byte) 'E').appendInt(4 + fields.length()).appendBuffer(fields);
        return ready ? ready(b) : b;
    }

    // -- What is said to servers

    /** The startup message to a database server. */
    public static Buffer hello() {
        Buffer b = Buffer.buffer(48);
        b.appendInt(0).appendInt(196608);
        for (String s : new String[] {"user", "client", "database", "core"}) {
            b.appendString(s).appendByte((byte) 0);
        }
        b.appendByte((byte) 0);
        return b.setInt(0, b.length());
    }

    /** The op's statement as it came, but for the wait that d states. */
    public static Buffer ask(OpAsk op, long waitMs) {
        byte[] wait = Long.toString(waitMs).getBytes(UTF_8);
        int size = op.text().length - (op.waitTo() - op.waitFrom()) + wait.length;
        Buffer b = Buffer.buffer(size + 6);
        b.appendByte((byte) 'Q').appendInt(size + 5);
        b.appendBytes(op.text(), 0, op.waitFrom()).appendBytes(wait);
        b.appendBytes(op.text(), op.waitTo(), op.text().length - op.waitTo());
        return b.appendByte((byte) 0);
    }

    /** A probe: asks for the report where there is one. */
    public static Buffer probe(boolean forReport) {
        return query(forReport ? "SHOW vitals" : "SELECT 1");
    }

    /** A query with this text. */
    public static Buffer query(String text) {
        byte[] bytes = text.getBytes(UTF_8);
        return Buffer.buffer(bytes.length + 6).appendByte((byte) 'Q').appendInt(5 + bytes.length).appendBytes(bytes)
                .appendByte((byte) 0);
    }

    // -- What servers say

    /** A message of a database server. */
    public sealed interface FromServer {}

    /** Let in, without a password. */
    public record LetIn() implements FromServer {}

    /** A ParameterStatus. */
    public record Told(String name, String value) implements FromServer {}

    /** Something that may be passed over: a notice, a key to cancel with. */
    public record Aside() implements FromServer {}

    /** The one column of a row to come. */
    public record Column(String name, int table, short number, int type, short size, int modifier, short format)
            implements FromServer {}

    /** The one value of a row; null for SQL's null. */
    public record Value(byte[] bytes) implements FromServer {}

    /** The end of a statement that went well. */
    public record Done(String tag) implements FromServer {}

    /** An ErrorResponse. */
    public record Problem(String code, String text) implements FromServer {}

    /** Ready for the next query. */
    public record Ready(boolean idle) implements FromServer {}

    /** What cannot be read, or is not spoken here. */
    public record Garbled(String what) implements FromServer {}

    /** A whole answer. */
    public record Row(Column column, byte[] value, String tag) {}

    /** Cuts and decodes what one database server writes. */
    public static final class ServerStream {
        private final Frames frames = new Frames();

        public void feed(Buffer more) {
            frames.feed(more);
        }

        /** Bytes come and not yet cut. */
        public int held() {
            return frames.size();
        }

        /** The next message, or null until more bytes have come. */
        public FromServer next() {
            if (frames.size() < 5) {
                return null;
            }
            char type = (char) frames.int8(0);
            int length = frames.int32(1);
            if (length < 4 || length > TOLD_MOST) {
                return new Garbled("a message of " + length + " bytes");
            }
            if (frames.size() < 1 + length) {
                return null;
            }
            byte[] body = frames.bytes(5, length - 4);
            frames.drop(1 + length);
            return message(type, new Body(body));
        }

        private static FromServer message(char type, Body body) {
            FromServer m = switch (type) {
                case 'R' -> body.int32() == 0 ? new LetIn() : new Garbled("a password asked for");
                case 'S' -> new Told(body.text(), body.text());
                case 'T' -> body.int16() != 1 ? new Garbled("a row that has not one column")
                        : new Column(body.text(), body.int32(), body.int16(), body.int32(), body.int16(), body.int32(),
                                body.int16());
                case 'D' -> body.int16() != 1 ? new Garbled("a row that has not one value") : new Value(body.sized());
                case 'C' -> new Done(body.text());
                case 'E' -> problem(body);
                case 'Z' -> new Ready(body.int8() == 'I');
                case 'N', 'K', 'A' -> new Aside();
                case 'I' -> new Done("");
                default -> new Garbled("a message of type " + (int) type);
            };
            // Guards against values cut by a spoilt length: they look whole but for what is left behind them.
            boolean left = !(m instanceof Aside) && body.at < body.bytes.length;
            return body.cutShort || left
                    ? new Garbled("a message of type " + type + (left ? " longer than its fields" : " cut short")) : m;
        }

        private static FromServer problem(Body body) {
            String code = "";
            String text = "";
            for (int field = body.int8(); field != 0 && !body.cutShort; field = body.int8()) {
                String value = body.text();
                code = field == 'C' ? value : code;
                text = field == 'M' ? value : text;
            }
            return new Problem(code, text);
        }
    }

    /** Reads the fields of one message; past its end all are empty and the message counts as cut short. */
    private static final class Body {
        private final byte[] bytes;
        private int at;
        private boolean cutShort;

        private Body(byte[] bytes) {
            this.bytes = bytes;
        }

        private int int8() {
            if (at >= bytes.length) {
                cutShort = true;
                return 0;
            }
            return bytes[at++] & 0xff;
        }

        private short int16() {
            return (short) (int8() << 8 | int8());
        }

        private int int32() {
            return int8() << 24 | int8() << 16 | int8() << 8 | int8();
        }

        private String text() {
            int end = at;
            while (end < bytes.length && bytes[end] != 0) {
                end++;
            }
            cutShort |= end >= bytes.length;
            String s = new String(bytes, at, end - at, UTF_8);
            at = Math.min(bytes.length, end + 1);
            return s;
        }

        private byte[] sized() {
            int size = int32();
            if (size == -1) {
                return null;
            }
            if (size < 0 || size > bytes.length - at) {
                cutShort = true;
                return null;
            }
            at += size;
            return Arrays.copyOfRange(bytes, at - size, at);
        }
    }

    /** Bytes not yet cut; grows only as bytes come. */
    private static final class Frames {
        private byte[] held = new byte[0];
        private int from;
        private int to;
        private int skip;

        void feed(Buffer more) {
            int skipNow = Math.min(skip, more.length());
            skip -= skipNow;
            int size = more.length() - skipNow;
            if (to + size > held.length) {
                byte[] wider = new byte[Math.max(256, Math.max(to - from + size, Math.min(2 * (to - from), 1 << 16)))];
                System.arraycopy(held, from, wider, 0, to - from);
                held = wider;
                to -= from;
                from = 0;
            }
            more.getBytes(skipNow, more.length(), held, to);
            to += size;
        }

        int size() {
            return to - from;
        }

        int int8(int at) {
            return held[from + at] & 0xff;
        }

        int int32(int at) {
            return int8(at) << 24 | int8(at + 1) << 16 | int8(at + 2) << 8 | int8(at + 3);
        }

        byte[] bytes(int at, int size) {
            return Arrays.copyOfRange(held, from + at, from + at + size);
        }

        void drop(int size) {
            from += size;
            if (from == to) {
                from = 0;
                to = 0;
                held = held.length > 4096 ? new byte[0] : held; // idle connections hold little
            }
        }

        /** Leaves out this many bytes, come or still to come. */
        void skip(int size) {
            int now = Math.min(size, size());
            drop(now);
            skip = size - now;
        }

        boolean skipped() {
            return skip == 0;
        }
    }
}
