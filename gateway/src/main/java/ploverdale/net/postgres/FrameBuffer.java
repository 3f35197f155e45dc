package ploverdale.net.postgres;

import io.vertx.core.buffer.Buffer;
import java.util.Arrays;

/**
 * Buffers bytes that have been received but not decoded yet. Grows only with the bytes received, never by a length that
 * a message announces.
 */
final class FrameBuffer {
    private static final int MIN_CAPACITY = 256;
    /** Limit up to which the capacity is doubled when it grows. */
    private static final int MAX_CAPACITY_AHEAD = 1 << 16;

    /** A larger array is released once it is empty, to save memory on idle connections. */
    private static final int MAX_IDLE_CAPACITY = 4096;

    private byte[] buffer = new byte[0];
    private int start;
    private int end;
    private int bytesToSkip;

    /** Appends received bytes, except those that are still to be skipped. */
    void feed(Buffer more) {
        int skipped = Math.min(bytesToSkip, more.length());
        bytesToSkip -= skipped;
        int size = more.length() - skipped;
        if (end + size > buffer.length) {
            growBy(size);
        }
        more.getBytes(skipped, more.length(), buffer, end);
        end += size;
    }

    private void growBy(int size) {
        int doubled = Math.min(2 * size(), MAX_CAPACITY_AHEAD);
        byte[] larger = new byte[Math.max(MIN_CAPACITY, Math.max(size() + size, doubled))];
        System.arraycopy(buffer, start, larger, 0, size());
        buffer = larger;
        end -= start;
        start = 0;
    }

    /** Returns the number of buffered bytes. */
    int size() {
        return end - start;
    }

    /** Returns the size of the array that holds the bytes. */
    int capacity() {
        return buffer.length;
    }

    /** Returns the unsigned byte at an index from the start of the buffered bytes. */
    int int8(int index) {
        return buffer[start + index] & 0xff;
    }

    /** Returns the big-endian integer at an index from the start of the buffered bytes. */
    int int32(int index) {
        return int8(index) << 24 | int8(index + 1) << 16 | int8(index + 2) << 8 | int8(index + 3);
    }

    /** Returns a copy of {@code size} bytes from an index on. */
    byte[] bytes(int index, int size) {
        return Arrays.copyOfRange(buffer, start + index, start + index + size);
    }

    /** Discards the first {@code size} buffered bytes. */
    void drop(int size) {
        start += size;
        if (start == end) {
            start = 0;
            end = 0;
            buffer = buffer.length > MAX_IDLE_CAPACITY ? new byte[0] : buffer;
        }
    }

    /** Discards the next {@code size} bytes, including those that have not been received yet. */
    void skip(int size) {
        int available = Math.min(size, size());
        drop(available);
        bytesToSkip = size - available;
    }

    /** Returns whether all bytes that are to be skipped have been received. */
    boolean isSkipComplete() {
        return bytesToSkip == 0;
    }
}
