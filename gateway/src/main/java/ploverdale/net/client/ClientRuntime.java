package ploverdale.net.client;

import io.vertx.core.Vertx;
import ploverdale.clock.ServerClock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.log.Log;
import ploverdale.model.RequestClass;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.settings.GatewaySettings;

/**
 * The objects shared by all client connections of a gateway. Immutable; the objects are used on the event loop only.
 */
final class ClientRuntime {
    /** Minimum time that a client has to read its responses before its connection is closed. */
    private static final long MIN_READ_TIMEOUT_MS = 5000;

    private static final long TICKS_PER_MS = 10; // timeouts of request classes are in tenths of a millisecond

    private final Vertx vertx;
    private final Log log;
    private final RouterEventLoop eventLoop;
    private final ConnectionLimits<ClientSession> limits;
    private final ServerClock clock;
    private final long readTimeoutMs;
    private final ServiceStatus status = new ServiceStatus();
    private final SessionRegistry sessions = new SessionRegistry();
    private final MemoryBudget memory;
    private final CancelRegistry cancels = new CancelRegistry();
    private final LingeringClose lingeringClose;
    private final InFlightRequests inFlight;
    private final RequestAcceptor acceptor;
    private final SessionEvictor evictor;
    private final InputScheduler inputScheduler;

    ClientRuntime(
            Vertx vertx,
            Log log,
            RouterEventLoop eventLoop,
            GatewaySettings settings,
            ConnectionLimits<ClientSession> limits,
            ServerClock clock) {
        this.vertx = vertx;
        this.log = log;
        this.eventLoop = eventLoop;
        this.limits = limits;
        this.clock = clock;
        this.readTimeoutMs = readTimeoutMs(settings);
        this.memory = new MemoryBudget(log);
        this.lingeringClose = new LingeringClose(vertx, log, limits, status, clock.clock());
        this.inFlight = new InFlightRequests(log, eventLoop, memory, clock.clock());
        this.acceptor = new RequestAcceptor(eventLoop, settings, limits, clock, inFlight);
        this.inputScheduler = new InputScheduler(log, clock.clock(), eventLoop);
        this.evictor = new SessionEvictor(log, limits, clock, status, memory, inputScheduler);
    }

    private static long readTimeoutMs(GatewaySettings settings) {
        long longestRequest = settings.started().requestClasses().stream()
                .mapToLong(RequestClass::timeout)
                .max()
                .orElse(0);
        return Math.max(MIN_READ_TIMEOUT_MS, longestRequest / TICKS_PER_MS);
    }

    Vertx vertx() {
        return vertx;
    }

    Log log() {
        return log;
    }

    RouterEventLoop eventLoop() {
        return eventLoop;
    }

    ConnectionLimits<ClientSession> limits() {
        return limits;
    }

    ServerClock clock() {
        return clock;
    }

    /** Returns the monotonic time in milliseconds. */
    long nowMs() {
        return clock.clock().monotonicMs();
    }

    /** Returns the time after which a client that does not read is closed: at least the longest request timeout. */
    long readTimeoutMs() {
        return readTimeoutMs;
    }

    ServiceStatus status() {
        return status;
    }

    SessionRegistry sessions() {
        return sessions;
    }

    MemoryBudget memory() {
        return memory;
    }

    CancelRegistry cancels() {
        return cancels;
    }

    LingeringClose lingeringClose() {
        return lingeringClose;
    }

    InFlightRequests inFlight() {
        return inFlight;
    }

    RequestAcceptor acceptor() {
        return acceptor;
    }

    SessionEvictor evictor() {
        return evictor;
    }

    InputScheduler inputScheduler() {
        return inputScheduler;
    }
}
