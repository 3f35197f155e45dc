package ploverdale.routing;

import ploverdale.model.Action;
import ploverdale.model.Capabilities;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;

/** Gives up attempts that are in flight. */
final class AttemptCanceller {
    private final DecisionContext context;
    private final Capabilities capabilities;
    private final ServerDirectory directory;

    AttemptCanceller(DecisionContext context, Capabilities capabilities, ServerDirectory directory) {
        this.context = context;
        this.capabilities = capabilities;
        this.directory = directory;
    }

    /** Has the request wait no longer, and its attempt in flight given up where that is allowed. */
    void cancel(PendingRequest request) {
        directory.group(request.arrival().group()).dequeue(request);
        if (capabilities.cancelAllowed() && request.requestCancel()) {
            context.emit(new Action.CancelAttempt(request.id(), request.attemptInFlight()));
        }
    }

    /** Gives up the attempts at this server that may be made again elsewhere. */
    void cancelRetryable(ServerState server) {
        server.load().inFlight().stream()
                .filter(request -> request.idempotence() == Idempotence.IDEMPOTENT)
                .forEach(this::cancel);
    }
}
