package ploverdale.net.server;

import io.netty.channel.ChannelException;
import java.net.BindException;
import java.net.ConnectException;
import java.util.List;
import ploverdale.model.Event.Outcome;

/**
 * Classifies why a connection could not be established, or a request not be written to it, by the exception of the
 * failed system call. May be used on any thread.
 *
 * <p>The JDK maps an errno to an exception class and puts the system's error message into the exception: ECONNREFUSED
 * and ETIMEDOUT become a {@link ConnectException}, EADDRNOTAVAIL a {@link BindException}, EHOSTUNREACH a {@code
 * NoRouteToHostException}. Most others share {@code SocketException} or {@code IOException} and can be distinguished by
 * the message only. Netty appends the address to the message, keeps the original exception as the cause, and throws a
 * {@link ChannelException} if no socket could be created or configured. A message that is not known here, for instance
 * a translated one, counts as {@link #CONNECT_INTERRUPTED}.
 */
public enum ConnectFailure {
    /**
     * This machine lacked descriptors, ports, buffers, memory or a permission; the failure says nothing about the
     * server.
     */
    LOCAL(Outcome.NEVER_SENT, true),
    /** This machine has no route to the server at the moment. This is a network failure, and it may last. */
    NO_ROUTE(Outcome.CONNECT_INTERRUPTED, true),
    /** The server refused the connection, or did not answer. */
    REFUSED(Outcome.CONNECT_FAILED, false),
    /**
     * The connection was closed while it was being established; it is not known whether by the server or by the
     * network.
     */
    CONNECT_INTERRUPTED(Outcome.CONNECT_INTERRUPTED, false);

    // The C library's messages for EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, EAGAIN, EPERM and EACCES.
    private static final List<String> LOCAL_MESSAGES = List.of(
            "Too many open files",
            "No buffer space available",
            "Cannot allocate memory",
            "Cannot assign requested address",
            "Resource temporarily unavailable",
            "Operation not permitted",
            "Permission denied");
    // The C library's messages for ENETUNREACH and ENETDOWN.
    private static final List<String> NO_ROUTE_MESSAGES = List.of("Network is unreachable", "Network is down");

    private final Outcome outcome;
    private final boolean transientFailure;

    ConnectFailure(Outcome outcome, boolean transientFailure) {
        this.outcome = outcome;
        this.transientFailure = transientFailure;
    }

    /** Returns the outcome of an attempt whose bytes were not all written because of this failure. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns whether the same call is likely to succeed a few milliseconds later. */
    public boolean isTransient() {
        return transientFailure;
    }

    /** Returns the class of the exception of a failed connect or write; never null. */
    public static ConnectFailure of(Throwable failure) {
        String message = String.valueOf(failure.getMessage());
        if (failure instanceof ChannelException
                || failure instanceof BindException
                || failure.getCause() instanceof BindException
                || startsWithAny(message, LOCAL_MESSAGES)) {
            return LOCAL;
        }
        if (startsWithAny(message, NO_ROUTE_MESSAGES)) {
            return NO_ROUTE;
        }
        return failure instanceof ConnectException ? REFUSED : CONNECT_INTERRUPTED;
    }

    private static boolean startsWithAny(String message, List<String> prefixes) {
        return prefixes.stream().anyMatch(message::startsWith);
    }
}
