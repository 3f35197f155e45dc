package ploverdale.net.client;

import io.vertx.core.buffer.Buffer;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.MessageWriter;

/**
 * Runs the messages of one session, each in its turn. Until the gateway serves, the first query is held, and with it all
 * behind it. Used on the event loop only.
 */
final class SessionMessageHandler implements QueuedInput.Handler {
    private static final String ENCRYPTION_NOT_SUPPORTED = "N";

    /** A query that waits for the gateway to serve. */
    private record HeldQuery(boolean isRequest, Runnable run) {}

    private final ClientRuntime runtime;
    private final ClientSession session;
    private HeldQuery heldQuery; // null if there is none
    private boolean skippingToSync; // after an error in the extended protocol, as PostgreSQL does

    SessionMessageHandler(ClientRuntime runtime, ClientSession session) {
        this.runtime = runtime;
        this.session = session;
    }

    /** Whether a query is held, so that nothing behind it runs. */
    boolean isHoldingQuery() {
        return heldQuery != null;
    }

    /** Runs the query that was held. */
    void runHeldQuery() {
        HeldQuery query = heldQuery;
        heldQuery = null;
        query.run().run();
    }

    /** Has the held query, if it is a request, answered as canceled in its turn. */
    void cancelHeldQuery() {
        if (heldQuery != null && heldQuery.isRequest()) {
            heldQuery = new HeldQuery(false, () -> onRejectedRequest(RequestRejection.CANCELED));
        }
    }

    private void hold(HeldQuery query) {
        heldQuery = query;
        runtime.sessions().addHoldingQuery(session);
        runtime.limits().asks(session); // it waits for a response, so it is not evicted as idle
    }

    /** The earliest time at which what is read now may have come; its client's timeout counts from there. */
    private long arrivalTime() {
        return runtime.clock().now() - runtime.eventLoop().lag();
    }

    @Override
    public void onStartup(ClientMessage.Startup startup) {
        CancelRegistry.BackendKey key = session.backendKey();
        runtime.limits().greeted(session);
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
    public void onInvalidQuery(ClientMessage.InvalidQuery query) {
        if (query.endsConnection()) {
            session.rejectAndClose(query.code(), query.text());
        } else if (!skippingToSync) {
            session.rejectInvalidQuery(query.code(), query.text());
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
