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
    private final long lastResortAtMs;
    private int attempts;

    /**
     * @param response its place in the order of the session's responses
     * @param lastResortAtMs monotonic time in milliseconds after which it is answered with an error, whatever the router does
     */
    AcceptedRequest(
            ClientMessage.RequestQuery query, ClientSession session, PendingResponse response, long lastResortAtMs) {
        this.id = response.request();
        this.query = query;
        this.session = session;
        this.response = response;
        this.lastResortAtMs = lastResortAtMs;
    }

    /** The query as the client wrote it. */
    public ClientMessage.RequestQuery query() {
        return query;
    }

    /** Numbers the attempts of this request from 0 on, as the router does. */
    public int nextAttemptNumber() {
        return attempts++;
    }

    /** Identifies the request. */
    RequestId id() {
        return id;
    }

    /** The connection that it came on. */
    ClientSession session() {
        return session;
    }

    /** Bytes of memory that it is counted with. */
    int bytes() {
        return query.text().length;
    }

    /** Whether the router has left it without an answer for too long. */
    boolean isOverdue(long nowMs) {
        return nowMs > lastResortAtMs;
    }

    /** Has the response written in its turn. */
    void complete(Buffer completeResponse) {
        response.complete(completeResponse);
        session.flush();
    }
}
