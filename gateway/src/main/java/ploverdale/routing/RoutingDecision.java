package ploverdale.routing;

import java.util.Optional;
import ploverdale.state.ServerState;

/** The decision on a request: forward it to a server, let it wait, or reject it. */
sealed interface RoutingDecision {
    /** No server may take the request now, but one may before the request times out. */
    RoutingDecision WAIT = new Wait();
    /** No server may take the request, and waiting will not change that. */
    RoutingDecision REJECT = new Reject();

    /** Returns the server to which the request is to be forwarded; empty if it waits or is rejected. */
    Optional<ServerState> server();

    /** Whether the request is to wait for a server. */
    boolean isWait();

    /** Returns the decision to forward the request to this server, if admission control admits it. */
    static RoutingDecision forwardTo(ServerState server) {
        return new Forward(server);
    }

    /** Forward to a server. */
    record Forward(ServerState target) implements RoutingDecision {
        @Override
        public Optional<ServerState> server() {
            return Optional.of(target);
        }

        @Override
        public boolean isWait() {
            return false;
        }
    }

    /** Wait for a server. */
    record Wait() implements RoutingDecision {
        @Override
        public Optional<ServerState> server() {
            return Optional.empty();
        }

        @Override
        public boolean isWait() {
            return true;
        }
    }

    /** Reject the request. */
    record Reject() implements RoutingDecision {
        @Override
        public Optional<ServerState> server() {
            return Optional.empty();
        }

        @Override
        public boolean isWait() {
            return false;
        }
    }
}
