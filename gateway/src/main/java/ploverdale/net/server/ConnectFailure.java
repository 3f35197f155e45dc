package ploverdale.net.server;

import io.netty.channel.ChannelException;
import java.net.BindException;
import java.net.ConnectException;
import java.util.List;
import ploverdale.model.Event.Outcome;

/**
 * Why a connection could not be made, or a request not be written to it, as far as the failed system call shows. Opens and closes
 * nothing; may be used on any thread.
 *
 * <p>The JDK maps an errno to an exception class and puts the system's text for it into the message: ECONNREFUSED and ETIMEDOUT
 * become a {@link ConnectException}, EADDRNOTAVAIL a {@link BindException}, EHOSTUNREACH a {@code NoRouteToHostException}; most
 * others share {@code SocketException} or {@code IOException}, so that only the text tells them apart. Netty adds the address
 * behind the text, keeps the original exception as the cause, and throws a {@link ChannelException} where no socket could be
 * made or set up. A text that is not known here, for instance a translated one, counts as {@link #CONNECT_INTERRUPTED}.
 */
public enum ConnectFailure {
    /** This machine lacked descriptors, ports, buffers, memory or the permission; says nothing about the server. */
    LOCAL(Outcome.NEVER_SENT, true),
    /** No route from here at this moment: the network's fault, perhaps for longer. */
    NO_ROUTE(Outcome.CONNECT_INTERRUPTED, true),
    /** The server refused the connection, or nothing answered. */
    REFUSED(Outcome.CONNECT_FAILED, false),
    /** The connection ended while it was being made; by the server or the network, which is not known. */
    CONNECT_INTERRUPTED(Outcome.CONNECT_INTERRUPTED, false);

    // EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, EAGAIN, EPERM, EACCES as the C library words them.
    private static final List<String> LOCAL_TEXTS = List.of(
            "Too many open files",
            "No buffer space available",
            "Cannot allocate memory",
            "Cannot assign requested address",
            "Resource temporarily unavailable",
            "Operation not permitted",
            "Permission denied");
    // ENETUNREACH, ENETDOWN
    private static final List<String> NO_ROUTE_TEXTS = List.of("Network is unreachable", "Network is down");

    private final Outcome outcome;
    private final boolean transientFailure;

    ConnectFailure(Outcome outcome, boolean transientFailure) {
        this.outcome = outcome;
        this.transientFailure = transientFailure;
    }

    /** The outcome of an attempt of which not everything was written. */
    public Outcome outcome() {
        return outcome;
    }

    /** Whether the same call may well succeed a few milliseconds later. */
    public boolean isTransient() {
        return transientFailure;
    }

    /** Classifies what a failed connect, or a failed write, was completed with. */
    public static ConnectFailure of(Throwable failure) {
        String text = String.valueOf(failure.getMessage());
        if (failure instanceof ChannelException
                || failure instanceof BindException
                || failure.getCause() instanceof BindException
                || startsWithAny(text, LOCAL_TEXTS)) {
            return LOCAL;
        }
        if (startsWithAny(text, NO_ROUTE_TEXTS)) {
            return NO_ROUTE;
        }
        return failure instanceof ConnectException ? REFUSED : CONNECT_INTERRUPTED;
    }

    private static boolean startsWithAny(String text, List<String> beginnings) {
        return beginnings.stream().anyMatch(text::startsWith);
    }
}
