package ploverdale.model;

import java.util.List;
import java.util.Map;

/**
 * All that can happen to a gateway. Times are tenths of a millisecond. An event calls the method of an {@link EventHandler} that
 * belongs to it, so that a new kind of event does not compile until every handler has a method for it.
 */
public sealed interface Event {

    /** Calls the handler's method for this kind of event. */
    void dispatchTo(EventHandler handler);

    /** The gateway starts and knows nothing but these settings; {@code me} is its number among the gateways. */
    record Started(
            long seed,
            int gateways,
            List<RequestClass> requestClasses,
            List<Tenant> tenants,
            double beyondShareValue,
            ServerGuarantees guarantees,
            Capabilities capabilities,
            ReplicaGuarantees replicaGuarantees,
            boolean listOnDemand,
            int me)
            implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onStarted(this);
        }
    }

    /**
     * The endpoint list, whole or its changes; failed where discovery returned none.
     *
     * @param revision discovery's count of changes up to this list, or {@link #UNKNOWN_REVISION}
     */
    record EndpointUpdate(boolean whole, boolean failed, long revision, List<Endpoint> endpoints) implements Event {
        /** Of a list that does not name its revision; it counts as newer than all before it. */
        public static final long UNKNOWN_REVISION = -1;

        /** A list that does not name its revision. */
        public EndpointUpdate(boolean whole, boolean failed, List<Endpoint> endpoints) {
            this(whole, failed, UNKNOWN_REVISION, endpoints);
        }

        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onEndpointUpdate(this);
        }
    }

    /**
     * A client sent a request.
     *
     * @param resubmitted whether the client sent the same request before
     * @param sessionWriteAge how long ago the session's last write was committed; 0 where it has none, below 0 where the write is
     *     dated a little later than now
     */
    record RequestArrived(
            RequestId request,
            RequestClassId type,
            TenantId tenant,
            GroupId group,
            SessionId session,
            long timeoutAt,
            boolean resubmitted,
            long expectedWork,
            long sessionWriteAge)
            implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onRequestArrived(this);
        }
    }

    /** The first part of a streamed response has arrived. */
    record ResponseStarted(RequestId request, int attempt, ServerId server) implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onResponseStarted(this);
        }
    }

    /**
     * An attempt has ended.
     *
     * @param requestSettled whether the request has its final answer with it
     * @param answerReport role and position that the answer carried, or null
     * @param loadReport the server's load report that came with it, or null
     */
    record AttemptEnded(
            RequestId request,
            int attempt,
            ServerId server,
            Outcome outcome,
            long duration,
            boolean requestSettled,
            LoadReport answerReport,
            LoadReport loadReport)
            implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onAttemptEnded(this);
        }
    }

    /** The client closed its connection or cancelled the request. */
    record ClientDisconnected(RequestId request) implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onClientDisconnected(this);
        }
    }

    /** A timer that was set by {@link Action.SetTimer}. */
    record TimerFired(long mark) implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onTimerFired(this);
        }
    }

    /** The event loop did not run in this span: nothing was read, written or timed. */
    record LoopDelayed(long from, long until) implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onLoopDelayed(this);
        }
    }

    /** A health check has ended; the report may be null. */
    record HealthCheckEnded(ServerId server, Outcome outcome, LoadReport loadReport) implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onHealthCheckEnded(this);
        }
    }

    /** A gossip datagram of another gateway. */
    record GossipReceived(int from, byte[] bytes) implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onGossipReceived(this);
        }
    }

    /** The graceful shutdown begins. */
    record ShutdownBegun() implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onShutdownBegun(this);
        }
    }

    /** The process ends in a moment: each request in flight gets its final answer now, whatever its own timeout. */
    record ShutdownDeadline() implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onShutdownDeadline(this);
        }
    }

    /**
     * The offset between the servers' wall clock and this gateway's time has changed or become unknown: positions reported before
     * count as unknown. Has the start times of the servers whose start the endpoint list names.
     */
    record ClockOffsetChanged(Map<ServerId, Long> startedAt) implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onClockOffsetChanged(this);
        }
    }

    /** How an attempt or a health check ended. */
    enum Outcome {
        /** The server answered with a result. */
        SUCCEEDED(false, true),
        /** The server answered with an error. */
        FAILED(false, true),
        /** The server refused for lack of capacity. */
        REJECTED(true, true),
        /** No answer came in time. */
        TIMED_OUT(false, false),
        /** The connection was refused or not made in time. */
        CONNECT_FAILED(true, false),
        /** The connection was lost while it was being made, by whose doing is not known. */
        CONNECT_INTERRUPTED(true, false),
        /** The connection was lost after the request had been written. */
        CONNECTION_LOST(false, false),
        /** The gateway gave the attempt up. */
        CANCELLED(false, false),
        /** Nothing was written, for a reason on this machine. */
        NEVER_SENT(true, false),
        /** The server has not the role or the position that the request needs. */
        MISDIRECTED(true, true);

        private final boolean provesNotRun;
        private final boolean reportedByServer;

        Outcome(boolean provesNotRun, boolean reportedByServer) {
            this.provesNotRun = provesNotRun;
            this.reportedByServer = reportedByServer;
        }

        /** Whether this proves that the request did not run. */
        public boolean provesNotRun() {
            return provesNotRun;
        }

        /** Whether the server itself reported this. */
        public boolean reportedByServer() {
            return reportedByServer;
        }

        /** Whether the connection was lost or never made. */
        public boolean isConnectionFailure() {
            return this == CONNECT_FAILED || this == CONNECT_INTERRUPTED || this == CONNECTION_LOST;
        }
    }
}
