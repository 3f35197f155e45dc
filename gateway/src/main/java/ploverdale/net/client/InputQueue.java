package ploverdale.net.client;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The messages of one client that wait until earlier requests have been answered. Counts their bytes in the memory
 * budget. Used on the event loop only.
 *
 * <p>Messages are read and queued although they cannot run yet, because the close of a connection is received after its
 * bytes: it is detected only once everything that the client sent has been read.
 */
final class InputQueue {
    /** Number of queued bytes from which further requests of the same client are rejected. */
    private static final int READ_AHEAD_BYTES = 64 * 1024;
    /** Number of queued bytes from which that client's input is paused and its queued requests are rejected. */
    private static final int MAX_BYTES = 4 * READ_AHEAD_BYTES;
    /** The same while all clients together queue much: as many connections as may be open stay within the budget. */
    private static final int MAX_SCARCE_BYTES = 8 * 1024;

    private final Deque<QueuedInput> inputs = new ArrayDeque<>();
    private final MemoryBudget memory;
    private int bytes; // as sent
    private int retainedBytes; // as held in memory

    InputQueue(MemoryBudget memory) {
        this.memory = memory;
    }

    /** Appends an input. */
    void add(QueuedInput input) {
        inputs.add(input);
        bytes += input.bytes();
        retainedBytes += input.retainedBytes();
        memory.reserve(input.retainedBytes());
    }

    /** Removes and returns the oldest input; null if the queue is empty. */
    QueuedInput poll() {
        QueuedInput input = inputs.poll();
        if (input != null) {
            bytes -= input.bytes();
            retainedBytes -= input.retainedBytes();
            memory.release(input.retainedBytes());
        }
        return input;
    }

    boolean isEmpty() {
        return inputs.isEmpty();
    }

    /** Returns whether further requests must be rejected. */
    boolean isOverReadAhead() {
        return bytes >= READ_AHEAD_BYTES;
    }

    /** Returns whether input must be paused: earlier if all clients together use much memory. */
    boolean isFull() {
        return bytes >= (memory.isInputScarce() ? MAX_SCARCE_BYTES : MAX_BYTES);
    }

    /** Replaces all queued requests by rejections. */
    void rejectRequests(RequestRejection rejection) {
        List<QueuedInput> queued = List.copyOf(inputs);
        clear();
        queued.forEach(input -> add(input.rejectedIfRequest(rejection)));
    }

    /** Discards all queued inputs. */
    void clear() {
        inputs.clear();
        memory.release(retainedBytes);
        bytes = 0;
        retainedBytes = 0;
    }
}
