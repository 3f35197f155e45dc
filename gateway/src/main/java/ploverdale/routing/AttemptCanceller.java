package ploverdale.routing;

import ploverdale.model.Action;
import ploverdale.model.Capabilities;
import ploverdale.model.RequestClass.Idempotence;
import ploverdale.state.PendingRequest;
import ploverdale.state.ServerState;

/** Cancels attempts that are in flight. */
final class AttemptCanceller {
    private final DecisionContext context;
    private final Capabilities capabilities;
    private final ServerDirectory directory;

    AttemptCanceller(DecisionContext context, Capabilities capabilities, ServerDirectory directory) {
        this.context = context;
        this.capabilities = capabilities;
        this.directory = directory;
    }

    /**
     * Removes the request from the queue of its group, and cancels its attempt in flight if the deployment allows it.
     */
    void cancel(PendingRequest request) {
        directory.dequeue(request);
        if (capabilities.cancelAllowed() && request.requestCancel()) {
            context.emit(new Action.CancelAttempt(request.id(), request.attemptInFlight()));
        }
    }

    /** Cancels the attempts at this server whose requests are idempotent, so that they can be retried elsewhere. */
    void cancelRetryable(ServerState server) {
        server.load().inFlight().stream()
                .filter(request -> request.idempotence() == Idempotence.IDEMPOTENT)
                .forEach(this::cancel);
    }
}
