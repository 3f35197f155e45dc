package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import ploverdale.model.RequestId;
import ploverdale.net.postgres.ClientMessage;

/** A request in flight: accepted from a client and not yet answered. Used on the event loop only. */
public final class AcceptedRequest {
    private final RequestId id;
    private final ClientMessage.RequestQuery query;
    private final ClientSession session;
    private final PendingResponse response;
    private final boolean idempotent;
    private final long overdueAtMs;
    private int attempts;
    private boolean mayHaveRun;

    /**
     * Creates a request without attempts.
     *
     * @param response slot reserved for this request in the session's response pipeline
     * @param idempotent whether the request may run more than once
     * @param overdueAtMs monotonic time in milliseconds after which the request is failed if still unanswered
     */
    AcceptedRequest(
            ClientMessage.RequestQuery query,
            ClientSession session,
            PendingResponse response,
            boolean idempotent,
            long overdueAtMs) {
        this.id = response.request();
        this.query = query;
        this.session = session;
        this.response = response;
        this.idempotent = idempotent;
        this.overdueAtMs = overdueAtMs;
    }

    /** Returns the query as the client sent it. */
    public ClientMessage.RequestQuery query() {
        return query;
    }

    /** Returns the number of the next attempt. Attempts are numbered from 0, as in the router. */
    public int nextAttemptNumber() {
        return attempts++;
    }

    /** Called right before an attempt is written to a server. */
    public void onAttemptWritten() {
        mayHaveRun = true;
    }

    /** Returns whether an attempt has been written to a server, so that the request may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the request may run more than once. */
    boolean isIdempotent() {
        return idempotent;
    }

    RequestId id() {
        return id;
    }

    /** Returns the connection on which the request was received. */
    ClientSession session() {
        return session;
    }

    /** Returns the number of bytes that this request takes from the memory budget. */
    int bytes() {
        return QueuedInput.DECODED_BYTES + query.retainedTextBytes();
    }

    /** Returns whether the time limit for the router's answer has passed. */
    boolean isOverdue(long nowMs) {
        return nowMs > overdueAtMs;
    }

    /** Sets the response, which is written once all earlier responses of the session have been written. */
    void complete(Buffer completeResponse) {
        response.complete(completeResponse);
        session.flush();
    }
}
