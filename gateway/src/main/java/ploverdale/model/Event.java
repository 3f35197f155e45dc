package ploverdale.model;

import java.util.List;
import java.util.Map;

/** All that can happen to a gateway. Times in tenths of a millisecond. */
public sealed interface Event {

    /** The gateway starts and knows nothing but this; it is number me of the gateways. */
    record Started(
            long seed,
            int gateways,
            List<RequestClass> requestClasses,
            List<Tenant> tenants,
            double beyondShareValue,
            ServerGuarantees guarantees,
            Capabilities capabilities,
            ReplicaGuarantees copies,
            boolean listOnDemand,
            int me)
            implements Event {}

    /** The list of servers, whole or its changes; failed when asking for it brought none. */
    record EndpointUpdate(boolean whole, boolean failed, List<Endpoint> endpoints) implements Event {}

    /**
     * A client's op; a token age of 0 means that the session has no earlier write, one below 0 that the write is dated a
     * little later than now.
     */
    record RequestArrived(
            RequestId request,
            RequestClassId type,
            TenantId tenant,
            GroupId group,
            SessionId session,
            long timeoutAt,
            boolean again,
            long expectedWork,
            long tokenAge)
            implements Event {}

    /** The answer to a streamed op has begun. */
    record ResponseStarted(RequestId request, int send, ServerId server) implements Event {}

    /** A send has ended; settled when the op has, too. Either report may be null. */
    record AttemptEnded(
            RequestId request,
            int send,
            ServerId server,
            Outcome outcome,
            long took,
            boolean settled,
            LoadReport note,
            LoadReport report)
            implements Event {}

    /** The client has gone. */
    record ClientDisconnected(RequestId request) implements Event {}

    /** A wake-up that was asked for. */
    record TimerFired(long mark) implements Event {}

    /** The event loop did not run in this span: nothing was read, written or timed. */
    record LoopDelayed(long from, long until) implements Event {}

    /** A probe has ended; the report may be null. */
    record HealthCheckEnded(ServerId server, Outcome outcome, LoadReport report) implements Event {}

    /** Another gateway's message. */
    record GossipReceived(int from, byte[] bytes) implements Event {}

    /** The gateway is about to leave. */
    record ShutdownBegun() implements Event {}

    /** The gateway ends in a moment: each op in hand is to have its answer now, however long its client would wait. */
    record ShutdownDeadline() implements Event {}

    /**
     * How far the servers' wall clock is from service time has turned out to be another, or is unknown now: positions told before
     * count as unknown, and the servers started at these times, where the list has one.
     */
    record ClockOffsetChanged(Map<ServerId, Long> startedAt) implements Event {}

    /** How a send ended. Cut off: on the way to a connection, by whom is not known; broken off: after it was sent. */
    enum Outcome {
        ACKED(false, true),
        ERRORED(false, true),
        FULL(true, true),
        TIMED_OUT(false, false),
        CONNECT_FAILED(true, false),
        CONNECT_INTERRUPTED(true, false),
        CONNECTION_LOST(false, false),
        CANCELLED(false, false),
        NEVER_SENT(true, false),
        MISDIRECTED(true, true);

        /** True when this proves that the op did not run. */
        public final boolean provesNotRun;

        /** True when the server itself said so. */
        public final boolean byServer;

        /** True when the connection was lost or never made. */
        public boolean isOfConnection() {
            return this == CONNECT_FAILED || this == CONNECT_INTERRUPTED || this == CONNECTION_LOST;
        }

        Outcome(boolean provesNotRun, boolean byServer) {
            this.provesNotRun = provesNotRun;
            this.byServer = byServer;
        }
    }
}
