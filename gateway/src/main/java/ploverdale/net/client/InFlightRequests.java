package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.model.Event;
import ploverdale.model.RequestId;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;

/**
 * The requests of all clients that have not been answered yet. Answers each request at most once, and no later than
 * shortly after its timeout. Used on the event loop only.
 */
final class InFlightRequests {
    /** How long after its timeout an unanswered request is failed: half of the time by which an answer may be late. */
    static final long OVERDUE_AFTER_TIMEOUT_MS = 250;

    private final Map<RequestId, AcceptedRequest> requests = new HashMap<>();
    private final Set<String> ids = new HashSet<>(); // those that the clients of these requests sent
    private final Log log;
    private final RouterEventLoop eventLoop;
    private final MemoryBudget memory;
    private final Clock clock;
    private final ExecutedRequests executed = new ExecutedRequests();

    InFlightRequests(Log log, RouterEventLoop eventLoop, MemoryBudget memory, Clock clock) {
        this.clock = clock;
        this.log = log;
        this.eventLoop = eventLoop;
        this.memory = memory;
    }

    /** Adds a request; no other request with the id that its client sent may be in flight. */
    void add(AcceptedRequest request) {
        requests.put(request.id(), request);
        ids.add(request.id().value());
        memory.reserve(request.bytes());
    }

    /** Returns the request with this id, or null if none is in flight. */
    AcceptedRequest get(RequestId id) {
        return requests.get(id);
    }

    /** Returns whether a request with this id of a client is in flight, or may have run and must not run again. */
    boolean isInUse(String id) {
        return isInFlight(id) || executed.contains(id, clock.monotonicMs());
    }

    /** Returns whether a request with this id of a client is in flight. */
    boolean isInFlight(String id) {
        return ids.contains(id);
    }

    /** Returns whether this request is in flight. */
    boolean contains(AcceptedRequest request) {
        return requests.get(request.id()) == request;
    }

    /** Returns the number of requests in flight. */
    int size() {
        return requests.size();
    }

    /** Answers the request with the row that a server returned. */
    void succeed(RequestId id, ResultRow row) {
        rememberIfExecuted(id);
        complete(id, MessageWriter.resultRow(row));
    }

    /** Answers a write that has already run with the response that was recorded for it. */
    void replay(RequestId id, byte[] response) {
        complete(id, Buffer.buffer(response));
    }

    /**
     * Answers that the request was not run and may be retried.
     *
     * @param retryAfter delay before a retry, in tenths of a millisecond, or 0 to suggest none
     */
    void reject(RequestId id, long retryAfter) {
        String detail = retryAfter > 0 ? Long.toString((retryAfter + 9) / 10) : null;
        complete(
                id,
                MessageWriter.errorResponse(
                        SqlStates.TOO_MANY_CONNECTIONS, "busy, trying again does no harm", detail, false, true));
    }

    /** Answers that the request failed and may have run. */
    void fail(RequestId id) {
        rememberIfExecuted(id);
        complete(id, ErrorResponses.error(SqlStates.SYSTEM_ERROR, "the op failed; whether it ran is not known"));
    }

    /**
     * Remembers the id of a write that may have run and must not run again: its client may have left without the answer,
     * and the id may come again.
     */
    private void rememberIfExecuted(RequestId id) {
        AcceptedRequest request = requests.get(id);
        if (request != null && request.mayHaveRun() && !request.isIdempotent()) {
            executed.add(id.value(), clock.monotonicMs());
        }
    }

    /** Answers a request; does nothing if it has been answered or its client has closed the connection. */
    private void complete(RequestId id, Buffer response) {
        AcceptedRequest request = remove(id);
        if (request != null) {
            request.complete(response);
        }
    }

    /** Removes a request that its client no longer waits for, and notifies the router. */
    void abandon(RequestId id) {
        AcceptedRequest request = remove(id);
        if (request != null && request.mayHaveRun()) {
            executed.add(id.value(), clock.monotonicMs());
        }
        eventLoop.enqueue(new Event.ClientDisconnected(id));
    }

    /**
     * Answers a request whose client may have closed the connection behind input that is not read yet: rejects it if no
     * attempt has been written, otherwise fails it.
     */
    void endForUnreadInput(AcceptedRequest request) {
        log.rateLimited("request not sent", "its client sends faster than it is read"); // log line: on-call guide
        eventLoop.enqueue(new Event.ClientDisconnected(request.id())); // prevents a second answer by the router
        if (request.mayHaveRun()) {
            fail(request.id());
        } else {
            reject(request.id(), 0);
        }
    }

    /** Fails all requests that the router has left unanswered for too long after their timeout, whatever the cause. */
    void failOverdue(long nowMs) {
        List<AcceptedRequest> overdue = requests.values().stream()
                .filter(request -> request.isOverdue(nowMs))
                .toList();
        for (AcceptedRequest request : overdue) {
            log.rateLimited("request without an answer", "failed " + OVERDUE_AFTER_TIMEOUT_MS + " ms after its time");
            eventLoop.enqueue(new Event.ClientDisconnected(request.id())); // prevents a second answer by the router
            fail(request.id());
        }
    }

    private AcceptedRequest remove(RequestId id) {
        AcceptedRequest request = requests.remove(id);
        if (request != null) {
            ids.remove(id.value());
            memory.release(request.bytes());
        }
        return request;
    }
}
