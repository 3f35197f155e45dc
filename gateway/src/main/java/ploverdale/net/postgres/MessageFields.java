package ploverdale.net.postgres;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Arrays;

/**
 * Reads the fields of one message in order. A read past the end returns an empty value and marks the message as
 * truncated.
 */
final class MessageFields {
    private final byte[] bytes;
    private int position;
    private boolean truncated;

    MessageFields(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Returns whether a field that was read extends past the end of the message. */
    boolean truncated() {
        return truncated;
    }

    /** Returns the number of bytes that have not been read. */
    int remaining() {
        return bytes.length - position;
    }

    /** Reads an unsigned byte. */
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

    /** Reads a zero-terminated string. */
    String string() {
        int end = position;
        while (end < bytes.length && bytes[end] != 0) {
            end++;
        }
        truncated |= end >= bytes.length;
        String value = new String(bytes, position, end - position, UTF_8);
        position = Math.min(bytes.length, end + 1);
        return value;
    }

    /**
     * Reads a value that is preceded by its length in bytes; returns null for the length -1, which stands for SQL NULL.
     */
    byte[] lengthPrefixedBytes() {
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
