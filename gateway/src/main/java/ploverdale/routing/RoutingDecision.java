package ploverdale.routing;

import java.util.Optional;
import ploverdale.state.ServerState;

/** Where a request goes now. */
sealed interface RoutingDecision {
    /** No server may take the request now, but one may before its time is up. */
    RoutingDecision WAIT = new Wait();
    /** No server may take the request, and waiting will not change that. */
    RoutingDecision REJECT = new Reject();

    /** The server that the request goes to, if there is one. */
    Optional<ServerState> server();

    /** Whether the request waits for a server. */
    boolean isWait();

    /** The request goes to this server, if admission agrees. */
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
