package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ploverdale.log.Log;
import ploverdale.model.Event;
import ploverdale.model.RequestId;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;

/**
 * The requests of all clients that have no final answer yet. Gives each at most one, and each one at the latest shortly after
 * its timeout. Used on the event loop only.
 */
final class InFlightRequests {
    /** After a request's timeout, in milliseconds: half of what an answer may be late. */
    static final long LAST_RESORT_MS = 250;

    private final Map<RequestId, AcceptedRequest> requests = new HashMap<>();
    private final Log log;
    private final RouterEventLoop eventLoop;
    private final MemoryBudget memory;

    InFlightRequests(Log log, RouterEventLoop eventLoop, MemoryBudget memory) {
        this.log = log;
        this.eventLoop = eventLoop;
        this.memory = memory;
    }

    /** Adds a request, whose id must not be in flight. */
    void add(AcceptedRequest request) {
        requests.put(request.id(), request);
        memory.reserve(request.bytes());
    }

    /** The request with this id, or null if none is in flight. */
    AcceptedRequest get(RequestId id) {
        return requests.get(id);
    }

    /** Whether this very request is in flight: an id may be used again once its request has been answered. */
    boolean contains(AcceptedRequest request) {
        return requests.get(request.id()) == request;
    }

    /** Number of requests in flight. */
    int size() {
        return requests.size();
    }

    /** Answers with the row that a server returned. */
    void succeed(RequestId id, ResultRow row) {
        complete(id, MessageWriter.resultRow(row));
    }

    /** Answers a write that ran before with the response that its client was given then. */
    void replay(RequestId id, byte[] response) {
        complete(id, Buffer.buffer(response));
    }

    /**
     * Answers that the request was not run and may be retried.
     *
     * @param retryAfter after how long, in tenths of a millisecond, or 0 for no advice
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
        complete(id, ErrorResponses.error(SqlStates.SYSTEM_ERROR, "the op failed; whether it ran is not known"));
    }

    /** Does nothing if the request has been answered or its client has closed. */
    private void complete(RequestId id, Buffer response) {
        AcceptedRequest request = remove(id);
        if (request != null) {
            request.complete(response);
        }
    }

    /** Forgets a request in flight that its client no longer waits for, and has the router forget it, too. */
    void abandon(RequestId id) {
        remove(id);
        eventLoop.enqueue(new Event.ClientDisconnected(id));
    }

    /** Fails what the router has left unanswered beyond its timeout, whatever the cause. */
    void failOverdue(long nowMs) {
        List<AcceptedRequest> overdue = requests.values().stream()
                .filter(request -> request.isOverdue(nowMs))
                .toList();
        for (AcceptedRequest request : overdue) {
            log.rateLimited("request without an answer", "failed " + LAST_RESORT_MS + " ms after its time");
            eventLoop.enqueue(new Event.ClientDisconnected(request.id())); // so that the router gives no second answer
            fail(request.id());
        }
    }

    private AcceptedRequest remove(RequestId id) {
        AcceptedRequest request = requests.remove(id);
        if (request != null) {
            memory.release(request.bytes());
        }
        return request;
    }
}
