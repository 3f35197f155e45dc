package ploverdale.model;

import java.util.List;
import java.util.Map;

/** All that can happen to a gateway. Times in tenths of a millisecond. */
public sealed interface Event {

    /** The gateway starts and knows nothing but this; it is number me of the gateways. */
    record Started(
            long seed, int gateways, List<OpType> opTypes, List<Tenant> tenants, double beyondShareValue,
            Pledges pledges, Permits permits, ReplicaGuarantees copies, boolean listOnDemand, int me) implements Event {}

    /** The list of servers, whole or its changes; failed when asking for it brought none. */
    record ListTold(boolean whole, boolean failed, List<Listing> listings) implements Event {}

    /**
     * A client's op; a token age of 0 means that the session has no earlier write, one below 0 that the write is dated a
     * little later than now.
     */
    record OpArrived(
            OpId op, OpTypeId type, TenantId tenant, GroupId group, SessionId session, long timeoutAt,
            boolean again, long expectedWork, long tokenAge) implements Event {}

    /** The answer to a streamed op has begun. */
    record AnswerBegun(OpId op, int send, ServerId server) implements Event {}

    /** A send has ended; settled when the op has, too. Either report may be null. */
    record SendEnded(
            OpId op, int send, ServerId server, Outcome outcome, long took, boolean settled, Report note,
            Report report) implements Event {}

    /** The client has gone. */
    record ClientLeft(OpId op) implements Event {}

    /** A wake-up that was asked for. */
    record WakeUp(long mark) implements Event {}

    /** The event loop did not run in this span: nothing was read, written or timed. */
    record LoopDelayed(long from, long until) implements Event {}

    /** A probe has ended; the report may be null. */
    record ProbeEnded(ServerId server, Outcome outcome, Report report) implements Event {}

    /** Another gateway's message. */
    record PeerMessage(int from, byte[] bytes) implements Event {}

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
        ACKED(false, true), ERRORED(false, true), FULL(true, true), TIMED_OUT(false, false),
        NOT_CONNECTED(true, false), CUT_OFF(true, false), BROKEN_OFF(false, false), CALLED_OFF(false, false), NEVER_SENT(true, false),
        TURNED_AWAY(true, true);

        /** True when this proves that the op did not run. */
        public final boolean provesNotRun;

        /** True when the server itself said so. */
        public final boolean byServer;

        /** True when the connection was lost or never made. */
        public boolean isOfConnection() {
            return this == NOT_CONNECTED || this == CUT_OFF || this == BROKEN_OFF;
        }

        Outcome(boolean provesNotRun, boolean byServer) {
            this.provesNotRun = provesNotRun;
            this.byServer = byServer;
        }
    }
}
