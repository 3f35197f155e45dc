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


    private byte[] held = new byte[0];
    private int from;
    private int to;
    private int bytesToSkip;

    /** Appends received bytes, except those that are still to be skipped. */
    void feed(Buffer more) {
        int skippedNow = Math.min(bytesToSkip, more.length());
        bytesToSkip -= skippedNow;
        int size = more.length() - skippedNow;
        if (to + size > held.length) {
            growFor(size);
        }
        more.getBytes(skippedNow, more.length(), held, to);
        to += size;
    }

    private void growFor(int size) {
        int doubled = Math.min(2 * size(), MAX_CAPACITY_AHEAD);
        byte[] wider = new byte[Math.max(MIN_CAPACITY, Math.max(size() + size, doubled))];
        System.arraycopy(held, from, wider, 0, size());
        held = wider;
        to -= from;
        from = 0;
    }

    /** Returns the number of buffered bytes. */
    int size() {
        return to - from;
    }

    /** Returns the unsigned byte at an index from the start of the buffered bytes. */
    int int8(int index) {
        return held[from + index] & 0xff;
    }

    /** Returns the big-endian integer at an index from the start of the buffered bytes. */
    int int32(int index) {
        return int8(index) << 24 | int8(index + 1) << 16 | int8(index + 2) << 8 | int8(index + 3);
    }

    /** Returns a copy of {@code size} bytes from an index on. */
    byte[] bytes(int index, int size) {
        return Arrays.copyOfRange(held, from + index, from + index + size);
    }

    /** Discards the first {@code size} buffered bytes. */
    void drop(int size) {
        from += size;
        if (from == to) {
            from = 0;
            to = 0;
            held = held.length > MAX_IDLE_CAPACITY ? new byte[0] : held;
        }
    }

    /** Discards the next {@code size} bytes, including those that have not been received yet. */
    void skip(int size) {
        int now = Math.min(size, size());
        drop(now);
        bytesToSkip = size - now;
    }

    /** Returns whether all bytes that are to be skipped have been received. */
    boolean skipped() {
        return bytesToSkip == 0;
    }
}
