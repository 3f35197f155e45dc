package ploverdale.net.client;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The responses that one client still waits for, in the order of its commands: a response is written once all before it have
 * been written. Used on the event loop only.
 */
final class RequestPipeline {
    /** Commands of one client that run before their responses are written; later ones are queued. */
    private static final int MAX_PENDING = 8;

    private final Deque<PendingResponse> pending = new ArrayDeque<>();

    /** Appends the response to the client's next command. */
    void add(PendingResponse response) {
        pending.add(response);
    }

    /** Whether no further command may run yet. */
    boolean isFull() {
        return pending.size() >= MAX_PENDING;
    }

    /** Whether the client waits for no response. */
    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Removes the first response if it is complete, else returns null. */
    PendingResponse pollCompleted() {
        PendingResponse first = pending.peek();
        return first == null || first.isInFlight() ? null : pending.poll();
    }

    /** The responses to requests that are in flight, oldest first; a copy. */
    List<PendingResponse> inFlight() {
        return pending.stream().filter(PendingResponse::isInFlight).toList();
    }

    /** Forgets all responses. */
    void clear() {
        pending.clear();
    }
}
