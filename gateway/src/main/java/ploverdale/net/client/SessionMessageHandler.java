package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.MessageWriter;

/**
 * Runs the messages of one session in order. Until the gateway serves, the first query and all messages after it are
 * held. Used on the event loop only.
 */
final class SessionMessageHandler implements QueuedInput.Handler {
    private static final String ENCRYPTION_NOT_SUPPORTED = "N";

    /** A query that is held until the gateway serves. */
    private record HeldQuery(boolean isRequest, Runnable run) {}

    private final ClientRuntime runtime;
    private final ClientSession session;
    private HeldQuery heldQuery; // null if no query is held

    /** Whether messages are skipped up to the next Sync, as PostgreSQL does after an error in the extended protocol. */
    private boolean skippingToSync;

    SessionMessageHandler(ClientRuntime runtime, ClientSession session) {
        this.runtime = runtime;
        this.session = session;
    }

    /** Returns whether a query is held, so that no later message may run. */
    boolean isHoldingQuery() {
        return heldQuery != null;
    }

    /** Runs the held query. */
    void runHeldQuery() {
        HeldQuery query = heldQuery;
        heldQuery = null;
        query.run().run();
    }

    /** Replaces the held query, if it is a request, by a response that it was canceled. */
    void cancelHeldQuery() {
        if (heldQuery != null && heldQuery.isRequest()) {
            heldQuery = new HeldQuery(false, () -> onRejectedRequest(RequestRejection.CANCELED));
        }
    }

    private void hold(HeldQuery query) {
        heldQuery = query;
        runtime.sessions().addHoldingQuery(session);
        runtime.limits().markAwaitingResponse(session); // a client that awaits a response is not evicted as idle
    }

    /** Returns the earliest time at which the current message may have arrived; its request's timeout starts then. */
    private long arrivalTime() {
        return runtime.clock().now() - runtime.eventLoop().lag();
    }

    @Override
    public void onStartup(ClientMessage.Startup startup) {
        CancelRegistry.BackendKey key = session.backendKey();
        runtime.limits().markStarted(session);
        session.respond(MessageWriter.startupResponse(key.processId(), key.secret()));
    }

    @Override
    public void onEncryptionRequest(ClientMessage.EncryptionRequest encryption) {
        session.respond(Buffer.buffer(ENCRYPTION_NOT_SUPPORTED));
    }

    @Override
    public void onTerminate(ClientMessage.Terminate terminate) {
        session.close();
    }

    @Override
    public void onCancelRequest(ClientMessage.CancelRequest cancel) {
        runtime.cancels().cancel(cancel);
        session.close();
    }

    @Override
    public void onRequestQuery(ClientMessage.RequestQuery query) {
        long arrivedAt = arrivalTime();
        if (!runtime.status().isServing()) {
            hold(new HeldQuery(true, () -> runtime.acceptor().accept(session, query, arrivedAt)));
        } else if (!skippingToSync) {
            runtime.acceptor().accept(session, query, arrivedAt);
        }
    }

    @Override
    public void onEmptyQuery(ClientMessage.EmptyQuery query) {
        if (!runtime.status().isServing()) {
            hold(new HeldQuery(false, () -> onEmptyQuery(query)));
        } else if (!skippingToSync) {
            session.respond(MessageWriter.emptyQueryResponse());
        }
    }

    @Override
    public void onUnsupportedMessage(ClientMessage.UnsupportedMessage message) {
        if (skippingToSync) {
            return;
        }
        skippingToSync = message.untilSync();
        session.respond(MessageWriter.errorResponse(
                SqlStates.FEATURE_NOT_SUPPORTED,
                "only simple queries are spoken here",
                null,
                false,
                !message.untilSync()));
    }

    @Override
    public void onSync(ClientMessage.Sync sync) {
        skippingToSync = false;
        session.respond(MessageWriter.readyForQuery());
    }

    @Override
    public void onInvalidMessage(ClientMessage.InvalidMessage message) {
        if (message.closesConnection()) {
            session.rejectAndClose(message.code(), message.message());
        } else if (!skippingToSync) {
            session.rejectInvalidMessage(message.code(), message.message());
        }
    }

    @Override
    public void onRejectedRequest(RequestRejection rejection) {
        if (skippingToSync) {
            return;
        }
        runtime.log().rateLimited("client's request not run", rejection.message());
        session.respond(rejection.response());
    }
}
