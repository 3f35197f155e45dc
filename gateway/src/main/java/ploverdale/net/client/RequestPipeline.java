package ploverdale.net.client;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The responses that one client still waits for, in the order of its commands. A response is written once all earlier
 * responses have been written. All responses but the first take memory from the budget; while that is used up, the
 * client's commands run one after another. Used on the event loop only.
 */
final class RequestPipeline {
    /** Number of commands of one client that may run before their responses are written; later commands are queued. */
    private static final int MAX_PENDING = 8;

    private final Deque<PendingResponse> pending = new ArrayDeque<>();
    private final MemoryBudget memory;

    RequestPipeline(MemoryBudget memory) {
        this.memory = memory;
    }

    /** Appends the response to the client's next command. */
    void add(PendingResponse response) {
        if (!pending.isEmpty()) {
            response.reserveMemory(memory);
        }
        pending.add(response);
    }

    /** Returns whether no further command may run yet. */
    boolean isFull() {
        return pending.size() >= MAX_PENDING || !pending.isEmpty() && !memory.hasCapacityForWaitingResponse();
    }

    /** Returns whether the client waits for no response. */
    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Removes and returns the first response if it is complete, otherwise returns null. */
    PendingResponse pollCompleted() {
        PendingResponse first = pending.peek();
        if (first == null) {
            return null;
        }
        first.releaseMemory();
        return first.isInFlight() ? null : pending.poll();
    }

    /** Returns a copy of the responses to requests that are in flight, oldest first. */
    List<PendingResponse> inFlight() {
        return pending.stream().filter(PendingResponse::isInFlight).toList();
    }

    /** Removes all responses. */
    void clear() {
        pending.forEach(PendingResponse::releaseMemory);
        pending.clear();
    }
}
