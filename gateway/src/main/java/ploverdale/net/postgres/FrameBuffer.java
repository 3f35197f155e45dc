package ploverdale.net.postgres;

import io.vertx.core.buffer.Buffer;
import java.util.Arrays;

/** Bytes received and not decoded yet; grows only as bytes are received. */
final class FrameBuffer {
    private static final int MIN_CAPACITY = 256;
    private static final int MAX_CAPACITY_AHEAD = 1 << 16;
    private static final int MAX_IDLE_CAPACITY = 4096; // idle connections hold little

    private byte[] held = new byte[0];
    private int from;
    private int to;
    private int bytesToSkip;

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

    int size() {
        return to - from;
    }

    int int8(int index) {
        return held[from + index] & 0xff;
    }

    int int32(int index) {
        return int8(index) << 24 | int8(index + 1) << 16 | int8(index + 2) << 8 | int8(index + 3);
    }

    byte[] bytes(int index, int size) {
        return Arrays.copyOfRange(held, from + index, from + index + size);
    }

    void drop(int size) {
        from += size;
        if (from == to) {
            from = 0;
            to = 0;
            held = held.length > MAX_IDLE_CAPACITY ? new byte[0] : held;
        }
    }

    /** Discards this many bytes, received or still to be received. */
    void skip(int size) {
        int now = Math.min(size, size());
        drop(now);
        bytesToSkip = size - now;
    }

    /** Whether all that is to be skipped has been received. */
    boolean skipped() {
        return bytesToSkip == 0;
    }
}
