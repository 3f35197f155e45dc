package ploverdale.net.client;

import java.util.OptionalLong;
import ploverdale.clock.ServerClock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.limits.ConnectionLimits.Eviction;
import ploverdale.log.Log;

/**
 * Ends sessions that the limits name: without a startup message, with an incomplete message for too long, or idle where
 * connections are many. Used on the event loop only.
 */
final class SessionEvictor {
    /** For a startup message, once a graceful shutdown closes connections. */
    private static final long SHUTDOWN_STARTUP_TIMEOUT_MS = 20;

    private static final String SHUTTING_DOWN = "this gateway ends, trying again does no harm";

    private final Log log;
    private final ConnectionLimits<ClientSession> limits;
    private final ServerClock clock;
    private final ServiceStatus status;
    private final MemoryBudget memory;

    SessionEvictor(
            Log log,
            ConnectionLimits<ClientSession> limits,
            ServerClock clock,
            ServiceStatus status,
            MemoryBudget memory) {
        this.log = log;
        this.limits = limits;
        this.clock = clock;
        this.status = status;
        this.memory = memory;
    }

    private long nowMs() {
        return clock.clock().monotonicMs();
    }

    /** Ends the sessions whose time is up. */
    void evictOverdue() {
        Eviction<ClientSession> eviction = limits.overdue(nowMs());
        while (eviction != null) {
            evict(eviction);
            eviction = limits.overdue(nowMs());
        }
        if (status.isClosingIdle()) {
            evictWithoutStartup();
        }
    }

    private void evictWithoutStartup() {
        Eviction<ClientSession> eviction = limits.silentFor(SHUTDOWN_STARTUP_TIMEOUT_MS, nowMs());
        while (eviction != null) {
            evict(eviction);
            eviction = limits.silentFor(SHUTDOWN_STARTUP_TIMEOUT_MS, nowMs());
        }
    }

    /** Ends sessions until a new one fits, or none may be ended. */
    void makeRoomForClient() {
        while (!limits.clientFits()) {
            Eviction<ClientSession> eviction = limits.wayForClient(nowMs());
            if (eviction == null) {
                return;
            }
            evict(eviction);
        }
    }

    /**
     * Ends a session, unless its client has sent something by now: what the operating system holds for it is read first, since
     * after a pause of this process a timer fires before the requests that came during the pause have been read.
     */
    void evict(Eviction<ClientSession> eviction) {
        OptionalLong since = limits.heldSince(eviction);
        eviction.who().readNow();
        if (since.isEmpty() || !since.equals(limits.heldSince(eviction))) {
            return;
        }
        if (eviction.why() == ConnectionLimits.Why.IDLE) {
            evictIdle(eviction);
        } else {
            evictIncomplete(eviction);
        }
    }

    private void evictIdle(Eviction<ClientSession> eviction) {
        if (eviction.who().closeIfIdle()) {
            log.rateLimited("idle client connection", "ended " + describe(eviction));
        } else {
            limits.asks(eviction.who()); // so that it is not named again before it has been answered
        }
    }

    private void evictIncomplete(Eviction<ClientSession> eviction) {
        String reason = eviction.why() == ConnectionLimits.Why.NO_GREETING
                ? "client without a greeting"
                : "client with an unfinished message";
        log.rateLimited(reason, "closed " + describe(eviction));
        eviction.who().giveUp(sqlState(eviction), reason);
    }

    /** What ends for this gateway's sake may be retried: the client may have written a request meanwhile. */
    private String sqlState(Eviction<ClientSession> eviction) {
        if (status.isClosingIdle()) {
            return SqlStates.CANNOT_CONNECT_NOW;
        }
        return eviction.forRoom() ? SqlStates.TOO_MANY_CONNECTIONS : SqlStates.PROTOCOL_VIOLATION;
    }

    private String describe(Eviction<ClientSession> eviction) {
        return "after " + eviction.sinceMs() + " ms, " + limits.clients() + " of clients";
    }

    /**
     * Ends the sessions whose messages have been incomplete longest, behind the responses to what came before, until memory is
     * within its budget. All others go on being read: a client that was not read would get its response too late because of
     * what others have queued here.
     */
    void releaseMemory() {
        while (memory.isExhausted() && limits.longestUnfinished() != null) {
            ClientSession session = limits.longestUnfinished();
            log.rateLimited(
                    "too much unfinished",
                    "given up with " + session.undecodedBytes() + " bytes, " + memory.usedBytes() + " held in all");
            session.giveUp(SqlStates.TOO_MANY_CONNECTIONS, "too much is unfinished here, trying again does no harm");
        }
    }

    /** Ends a session because the gateway shuts down. */
    static void giveUpForShutdown(ClientSession session) {
        session.giveUp(SqlStates.CANNOT_CONNECT_NOW, SHUTTING_DOWN);
    }

    /** Ends all sessions with an incomplete message, whose rest would come too late to be answered. */
    void rejectIncompleteMessages() {
        ClientSession session = limits.longestUnfinished();
        while (session != null) {
            giveUpForShutdown(session);
            session = limits.longestUnfinished();
        }
    }
}
