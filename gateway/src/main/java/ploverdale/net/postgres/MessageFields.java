package ploverdale.net.postgres;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Arrays;

/** Reads the fields of one message in order; past its end all are empty and the message counts as truncated. */
final class MessageFields {
    private final byte[] bytes;
    private int position;
    private boolean truncated;

    MessageFields(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Whether a field was read that the message did not hold completely. */
    boolean truncated() {
        return truncated;
    }

    int remaining() {
        return bytes.length - position;
    }

    int int8() {
        if (position >= bytes.length) {
            truncated = true;
            return 0;
        }
        return bytes[position++] & 0xff;
    }

    short int16() {
        return (short) (int8() << 8 | int8());
    }

    int int32() {
        return int8() << 24 | int8() << 16 | int8() << 8 | int8();
    }

    /** Text up to a zero byte. */
    String text() {
        int end = position;
        while (end < bytes.length && bytes[end] != 0) {
            end++;
        }
        truncated |= end >= bytes.length;
        String text = new String(bytes, position, end - position, UTF_8);
        position = Math.min(bytes.length, end + 1);
        return text;
    }

    /** Bytes behind their number; null for the number -1. */
    byte[] sizedBytes() {
        int size = int32();
        if (size == -1) {
            return null;
        }
        if (size < 0 || size > remaining()) {
            truncated = true;
            return null;
        }
        position += size;
        return Arrays.copyOfRange(bytes, position - size, position);
    }
}
