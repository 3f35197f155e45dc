package ploverdale.model;

/**
 * An action that the router decides on and its host carries out. Times are {@link Ticks}. Each action dispatches itself
 * to the {@link ActionHandler} method for its kind.
 */
public sealed interface Action {

    /** Calls the handler's method for this kind of action. */
    void dispatchTo(ActionHandler handler);

    /**
     * Forward a request to a server.
     *
     * @param timeLimit how long to wait for the answer, from now
     * @param writeConditions checked right before the request is written to the server; matters if a connection has to
     *     be established first
     */
    record StartAttempt(RequestId request, ServerId server, long timeLimit, WriteConditions writeConditions)
            implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.startAttempt(this);
        }
    }

    /** Cancel an attempt in flight; {@code attempt} counts the attempts of the request from 0. */
    record CancelAttempt(RequestId request, int attempt) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.cancelAttempt(this);
        }
    }

    /**
     * Reject a request. Informs the client that the request did not run or may safely be repeated.
     *
     * @param retryAfter after how long the client may submit the request again; 0 to state no time
     */
    record RejectRequest(RequestId request, long retryAfter) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.rejectRequest(this);
        }
    }

    /** Fail a request. Leaves open to the client whether the request ran. */
    record FailRequest(RequestId request) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.failRequest(this);
        }
    }

    /**
     * Deliver {@link Event.TimerFired} at a given time.
     *
     * @param mark returned in the event
     */
    record SetTimer(long at, long mark) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.setTimer(this);
        }
    }

    /** Send a server a health check. */
    record CheckHealth(ServerId server) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.checkHealth(this);
        }
    }

    /** Close the idle connections to a server. */
    record CloseIdleConnections(ServerId server) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.closeIdleConnections(this);
        }
    }

    /** Start watching the endpoint list. */
    record WatchEndpoints() implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.watchEndpoints(this);
        }
    }

    /** Send a gossip datagram to the gateway with this index. */
    record SendGossip(int peer, byte[] bytes) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.sendGossip(this);
        }
    }

    /** Write a line to the log. */
    record LogLine(String text) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.writeLogLine(this);
        }
    }
}
