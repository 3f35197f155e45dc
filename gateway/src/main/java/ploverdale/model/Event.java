package ploverdale.model;

import java.util.List;
import java.util.Map;

/**
 * An event that the router decides on. Times are {@link Ticks}. Each event dispatches itself to the
 * {@link EventHandler} method for its kind, so that a new kind of event does not compile until every handler has a
 * method for it.
 */
public sealed interface Event {

    /** Calls the handler's method for this kind of event. */
    void dispatchTo(EventHandler handler);

    /**
     * The gateway starts. These settings are all that the router knows at that time.
     *
     * @param seed the seed of the router's random numbers
     * @param gateways the number of gateways in the deployment
     * @param requestClasses all request classes, by their index
     * @param tenants all tenants, by their index
     * @param valueBeyondAgreedTraffic the value of a request beyond its tenant's agreed traffic, as a fraction of
     *     its class's value
     * @param listOnDemand whether the endpoint list is watched only after {@link Action.WatchEndpoints}
     * @param gatewayIndex the index of this gateway among all gateways
     */
    record Started(
            long seed,
            int gateways,
            List<RequestClass> requestClasses,
            List<Tenant> tenants,
            double valueBeyondAgreedTraffic,
            ServerGuarantees guarantees,
            Capabilities capabilities,
            ReplicaGuarantees replicaGuarantees,
            boolean listOnDemand,
            int gatewayIndex)
            implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onStarted(this);
        }
    }

    /**
     * Discovery returned the endpoint list or its changes, or failed to.
     *
     * @param complete whether {@code endpoints} is the complete list, rather than only its changes
     * @param failed whether the call to discovery failed
     * @param revision discovery's revision of this list, or {@link #UNKNOWN_REVISION}
     */
    record EndpointUpdate(boolean complete, boolean failed, long revision, List<Endpoint> endpoints) implements Event {
        /** The revision of an update that does not state one; such an update counts as newer than all earlier ones. */
        public static final long UNKNOWN_REVISION = -1;

        /** Creates an update that does not state its revision. */
        public EndpointUpdate(boolean complete, boolean failed, List<Endpoint> endpoints) {
            this(complete, failed, UNKNOWN_REVISION, endpoints);
        }

        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onEndpointUpdate(this);
        }
    }

    /**
     * A client sent a request.
     *
     * @param timeoutAt when the client stops waiting for the answer
     * @param resubmitted whether the client submitted the same request before
     * @param expectedWork the work that the client expects, in units of {@link RequestClass#objectivePerWork}
     * @param sessionWriteAge how long ago the session's last write was committed; 0 if it has none, negative if the
     *     commit time is slightly later than now
     */
    record RequestArrived(
            RequestId request,
            RequestClassId requestClass,
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
     * @param duration how long the attempt was in flight
     * @param requestSettled whether this attempt gave the request its final answer
     * @param answerReport the role and position that the answer carried, or null
     * @param loadReport the load report that the server sent with the answer, or null
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

    /** A timer set by {@link Action.SetTimer} expired; has the mark of that action. */
    record TimerFired(long mark) implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onTimerFired(this);
        }
    }

    /** The event loop did not run during this interval: nothing was read or written, and no timer fired. */
    record LoopDelayed(long from, long until) implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onLoopDelayed(this);
        }
    }

    /** A health check has ended; {@code loadReport} is null if the server sent none. */
    record HealthCheckEnded(ServerId server, Outcome outcome, LoadReport loadReport) implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onHealthCheckEnded(this);
        }
    }

    /** A gossip datagram arrived from the gateway with this index. */
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

    /**
     * The process is about to exit: each request in flight gets its final answer now, regardless of its own timeout.
     */
    record ShutdownDeadline() implements Event {
        @Override
        public void dispatchTo(EventHandler handler) {
            handler.onShutdownDeadline(this);
        }
    }

    /**
     * The offset between the servers' wall clock and this gateway's clock has changed or become unknown. Positions
     * reported before count as unknown.
     *
     * @param startedAt the start times of the servers for which the endpoint list states one, converted with the new
     *     offset
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
        /** No answer arrived in time. */
        TIMED_OUT(false, false),
        /** The connection was refused or not established in time. */
        CONNECT_FAILED(true, false),
        /** The connection was lost while it was being established; it is not known what caused that. */
        CONNECT_INTERRUPTED(true, false),
        /** The connection was lost after the request had been written. */
        CONNECTION_LOST(false, false),
        /** The gateway cancelled the attempt. */
        CANCELLED(false, false),
        /** Nothing was written, for a reason local to this gateway. */
        NEVER_SENT(true, false),
        /** The server does not have the role or the log position that the request needs. */
        MISDIRECTED(true, true);

        private final boolean provesNotRun;
        private final boolean reportedByServer;

        Outcome(boolean provesNotRun, boolean reportedByServer) {
            this.provesNotRun = provesNotRun;
            this.reportedByServer = reportedByServer;
        }

        /** Whether this outcome proves that the request did not run. */
        public boolean provesNotRun() {
            return provesNotRun;
        }

        /** Whether this outcome comes from a response of the server, which shows that the server is alive. */
        public boolean reportedByServer() {
            return reportedByServer;
        }

        /** Whether the connection was lost or could not be established. */
        public boolean isConnectionFailure() {
            return this == CONNECT_FAILED || this == CONNECT_INTERRUPTED || this == CONNECTION_LOST;
        }
    }
}
