package ploverdale.net.client;

import java.util.OptionalLong;
import ploverdale.clock.ServerClock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.limits.ConnectionLimits.Eviction;
import ploverdale.log.Log;

/**
 * Closes sessions that the connection limits select: those that have sent no startup message or have had an incomplete
 * message for too long, and, when there are many connections, idle ones and those that send faster than their share.
 * Used on the event loop only.
 */
final class SessionEvictor {
    /** Time limit for the startup message while a graceful shutdown closes idle connections. */
    private static final long SHUTDOWN_STARTUP_TIMEOUT_MS = 20;

    /** How many sessions with much input are evicted for memory at a time: each has to have its input counted. */
    private static final int MAX_PAUSED_EVICTIONS = 4;

    /** Time between two such evictions for new clients, so that clients that connect often do not use up the loop. */
    private static final long PAUSED_EVICTION_INTERVAL_MS = 10;

    private static final String SHUTTING_DOWN = "this gateway ends, trying again does no harm";

    private final Log log;
    private final ConnectionLimits<ClientSession> limits;
    private final ServerClock clock;
    private final ServiceStatus status;
    private final MemoryBudget memory;
    private final InputScheduler inputScheduler;
    private long lastPausedEvictionMs = Long.MIN_VALUE / 2;

    SessionEvictor(
            Log log,
            ConnectionLimits<ClientSession> limits,
            ServerClock clock,
            ServiceStatus status,
            MemoryBudget memory,
            InputScheduler inputScheduler) {
        this.log = log;
        this.limits = limits;
        this.clock = clock;
        this.status = status;
        this.memory = memory;
        this.inputScheduler = inputScheduler;
    }

    private long nowMs() {
        return clock.clock().monotonicMs();
    }

    /** Evicts all sessions that have exceeded a time limit. */
    void evictOverdue() {
        Eviction<ClientSession> eviction = limits.overdue(nowMs());
        while (eviction != null) {
            evict(eviction);
            eviction = limits.overdue(nowMs());
        }
        if (status.isClosingIdle()) {
            evictPreStartup();
        }
    }

    private void evictPreStartup() {
        Eviction<ClientSession> eviction = limits.preStartupFor(SHUTDOWN_STARTUP_TIMEOUT_MS, nowMs());
        while (eviction != null) {
            evict(eviction);
            eviction = limits.preStartupFor(SHUTDOWN_STARTUP_TIMEOUT_MS, nowMs());
        }
    }

    /**
     * Evicts sessions until there is capacity for a new client, or no session may be evicted; of those with much input
     * no more than one, which closes at once unless a request of its client is in flight.
     */
    void evictForNewClient() {
        while (!limits.hasCapacityForClient()) {
            Eviction<ClientSession> eviction = limits.evictionForClient(nowMs());
            if (eviction == null) {
                return;
            }
            if (eviction.reason() == ConnectionLimits.EvictionReason.PAUSED_INPUT) {
                evictPausedForNewClient(eviction);
                return;
            }
            evict(eviction);
        }
    }

    private void evictPausedForNewClient(Eviction<ClientSession> eviction) {
        if (nowMs() - lastPausedEvictionMs >= PAUSED_EVICTION_INTERVAL_MS) {
            lastPausedEvictionMs = nowMs();
            evict(eviction);
            inputScheduler.runNow(eviction.client());
        }
    }

    /**
     * Evicts a session, unless its client has sent something in the meantime. Reads what the operating system has
     * buffered for it first: after a process pause, a timer fires before the requests that arrived during the pause
     * have been read.
     */
    void evict(Eviction<ClientSession> eviction) {
        if (eviction.reason() == ConnectionLimits.EvictionReason.PAUSED_INPUT) {
            evictPaused(eviction.client(), describe(eviction));
            return;
        }
        OptionalLong since = limits.reasonSince(eviction);
        eviction.client().readNow();
        if (since.isEmpty() || !since.equals(limits.reasonSince(eviction))) {
            return;
        }
        if (eviction.reason() == ConnectionLimits.EvictionReason.IDLE) {
            evictIdle(eviction);
        } else {
            evictIncomplete(eviction);
        }
    }

    private void evictIdle(Eviction<ClientSession> eviction) {
        if (eviction.client().closeIfIdle()) {
            log.rateLimited("idle client connection", "ended " + describe(eviction));
        } else {
            limits.markAwaitingResponse(eviction.client()); // prevents its selection until it is idle again
        }
    }

    private void evictIncomplete(Eviction<ClientSession> eviction) {
        String reason = eviction.reason() == ConnectionLimits.EvictionReason.NO_STARTUP_MESSAGE
                ? "client without a greeting"
                : "client with an unfinished message";
        log.rateLimited(reason, "closed " + describe(eviction));
        eviction.client().abortInput(sqlState(eviction), reason);
    }

    /** Evicts a session of which more was read than could be run; its client has more to send, or has left. */
    private void evictPaused(ClientSession session, String description) {
        log.rateLimited("client with much input", "closed " + description); // log line: on-call guide
        session.shedInput(SqlStates.TOO_MANY_CONNECTIONS, "too much is sent here, trying again does no harm");
    }

    /**
     * Returns the SQLSTATE for an eviction. An eviction in the gateway's own interest gets a code after which a retry
     * is safe, since the client may have sent a request in the meantime.
     */
    private String sqlState(Eviction<ClientSession> eviction) {
        if (status.isClosingIdle()) {
            return SqlStates.CANNOT_CONNECT_NOW;
        }
        return eviction.isForCapacity() ? SqlStates.TOO_MANY_CONNECTIONS : SqlStates.PROTOCOL_VIOLATION;
    }

    private String describe(Eviction<ClientSession> eviction) {
        return "after " + eviction.durationMs() + " ms, " + limits.clientConnections() + " of clients";
    }

    /**
     * Evicts sessions until the memory budget suffices: first those whose input has been paused longest, since they
     * have sent more than their share, then those whose messages have been incomplete longest. Requests of theirs that
     * run are answered first. Input of all other sessions is not paused, since a client would otherwise get its
     * response too late because of what other clients have queued.
     */
    void evictForMemory() {
        for (int i = 0; i < MAX_PAUSED_EVICTIONS && memory.isExhausted() && limits.longestPaused() != null; i++) {
            evictPaused(limits.longestPaused(), "with " + memory.usedBytes() + " bytes held in all");
        }
        while (memory.isExhausted() && limits.longestPaused() == null && limits.longestIncomplete() != null) {
            ClientSession session = limits.longestIncomplete();
            log.rateLimited(
                    "too much unfinished",
                    "given up with " + session.undecodedBytes() + " bytes, " + memory.usedBytes() + " held in all");
            session.abortInput(
                    SqlStates.TOO_MANY_CONNECTIONS, "too much is unfinished here, trying again does no harm");
        }
    }

    /** Ends a session because the gateway is shutting down. */
    static void abortForShutdown(ClientSession session) {
        session.abortInput(SqlStates.CANNOT_CONNECT_NOW, SHUTTING_DOWN);
    }

    /** Ends all sessions with an incomplete message, since the rest of it would arrive too late to be answered. */
    void rejectIncompleteMessages() {
        ClientSession session = limits.longestIncomplete();
        while (session != null) {
            abortForShutdown(session);
            session = limits.longestIncomplete();
        }
    }
}
