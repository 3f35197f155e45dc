package ploverdale.model;

/**
 * All that a gateway can do. Times are tenths of a millisecond. An action calls the method of an {@link ActionHandler} that
 * belongs to it.
 */
public sealed interface Action {

    /** Calls the handler's method for this kind of action. */
    void dispatchTo(ActionHandler handler);

    /**
     * Forward a request to a server.
     *
     * @param timeLimit how long to wait for the answer
     * @param writeBy the request is not written after this time, where a connection has to be made first
     */
    record StartAttempt(RequestId request, ServerId server, long timeLimit, long writeBy) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.startAttempt(this);
        }
    }

    /** Give up waiting for an attempt. */
    record CancelAttempt(RequestId request, int attempt) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.cancelAttempt(this);
        }
    }

    /** Reject the request, which promises that it did not run or may safely be repeated; a retry-after of 0 names no time. */
    record RejectRequest(RequestId request, long retryAfter) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.rejectRequest(this);
        }
    }

    /** Report the request as failed, which promises nothing. */
    record FailRequest(RequestId request) implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.failRequest(this);
        }
    }

    /** Have {@link Event.TimerFired} come at this time, with this mark. */
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

    /** Watch the endpoint list from now on. */
    record WatchEndpoints() implements Action {
        @Override
        public void dispatchTo(ActionHandler handler) {
            handler.watchEndpoints(this);
        }
    }

    /** Send another gateway a gossip datagram. */
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
