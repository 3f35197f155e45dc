package ploverdale.net.client;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The messages of one client that wait until earlier requests have been answered, with the bytes that they take. Used on the
 * event loop only.
 *
 * <p>Messages are read and queued although they cannot run yet, because the end of a connection follows its bytes: a client
 * that has closed is noticed only once all that it wrote has been read.
 */
final class InputQueue {
    /** Bytes queued from which on further requests of the same client are rejected. */
    private static final int READ_AHEAD_BYTES = 64 * 1024;
    /** Bytes queued from which on nothing more is read of that client, and queued requests are rejected. */
    private static final int MAX_BYTES = 4 * READ_AHEAD_BYTES;

    private final Deque<QueuedInput> inputs = new ArrayDeque<>();
    private final MemoryBudget memory;
    private int bytes;

    InputQueue(MemoryBudget memory) {
        this.memory = memory;
    }

    /** Appends an input. */
    void add(QueuedInput input) {
        inputs.add(input);
        bytes += input.bytes();
        memory.reserve(input.bytes());
    }

    /** Removes the oldest input; null if there is none. */
    QueuedInput poll() {
        QueuedInput input = inputs.poll();
        if (input != null) {
            bytes -= input.bytes();
            memory.release(input.bytes());
        }
        return input;
    }

    /** Whether nothing is queued. */
    boolean isEmpty() {
        return inputs.isEmpty();
    }

    /** Whether a further request is to be rejected. */
    boolean isOverReadAhead() {
        return bytes >= READ_AHEAD_BYTES;
    }

    /** Whether nothing more is to be read. */
    boolean isFull() {
        return bytes >= MAX_BYTES;
    }

    /** Puts rejections in the places of all requests. */
    void rejectRequests(RequestRejection rejection) {
        List<QueuedInput> queued = List.copyOf(inputs);
        clear();
        queued.forEach(input -> add(input.rejectedIfRequest(rejection)));
    }

    /** Forgets all that is queued. */
    void clear() {
        inputs.clear();
        memory.release(bytes);
        bytes = 0;
    }
}
