package ploverdale.net.client;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.LinkedHashMap;
import java.util.Map;
import ploverdale.clock.Clock;
import ploverdale.limits.ConnectionLimits;
import ploverdale.log.Log;
import ploverdale.net.eventloop.NioSockets;

/**
 * Closes connections without losing their last responses. Closing a socket with unread input would reset the connection
 * and discard responses that the client has not received yet. Therefore the output is shut down after the last
 * response, and input is read and discarded until the client closes the connection, too, or a time limit has passed.
 * Used on the event loop only.
 */
final class LingeringClose {
    /** How long the client may take to close the connection, too, after the output has been shut down. */
    private static final long LINGER_MS = 500;
    /** How much is read from a client after its connection has ended. The rest is left unread, to limit the load. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;
    /** Delay until the operating system has released the descriptor of a closed socket. */
    private static final long DESCRIPTOR_RELEASE_MS = 1;

    private final Vertx vertx;
    private final Log log;
    private final ConnectionLimits<ClientSession> limits;
    private final ServiceStatus status;
    private final Clock clock;
    private final Map<NetSocket, DiscardedInput> lingering = new LinkedHashMap<>(); // oldest first
    private int unflushed;

    LingeringClose(Vertx vertx, Log log, ConnectionLimits<ClientSession> limits, ServiceStatus status, Clock clock) {
        this.vertx = vertx;
        this.log = log;
        this.limits = limits;
        this.status = status;
        this.clock = clock;
    }

    /** Shuts the output down after everything written has been sent, and discards the input. Call once per socket. */
    void close(NetSocket socket) {
        unflushed++;
        socket.write(Buffer.buffer()).onComplete(written -> {
            unflushed--;
            Channel channel =
                    ((NetSocketInternal) socket).channelHandlerContext().channel();
            if (written.succeeded() && channel instanceof DuplexChannel duplexChannel) {
                duplexChannel.shutdownOutput();
            }
        });
        discardInput(socket);
    }

    /**
     * Closes a connection on which nothing remains to be sent. Call once per socket.
     *
     * @param outputEnded whether its output has been shut down already
     */
    void closeIdle(NetSocket socket, boolean outputEnded) {
        if (outputEnded) {
            discardInput(socket);
        } else {
            close(socket);
        }
    }

    /** Discards the input of a connection whose output has been shut down, and closes it after a time limit. */
    private void discardInput(NetSocket socket) {
        DiscardedInput discarded = new DiscardedInput(socket, clock.monotonicMs() + LINGER_MS);
        lingering.put(socket, discarded);
        socket.handler(discarded::onBytes);
        closeOldest(limits.excessConnections());
    }

    /** Closes the given number of lingering connections, oldest first; none if the number is 0 or negative. */
    void closeOldest(int count) {
        lingering.values().stream().limit(Math.max(0, count)).toList().forEach(DiscardedInput::close);
    }

    /**
     * Closes the connections whose time limit has passed; to be called periodically. A timer for each connection would
     * keep it in memory until then, also if its client closes it at once.
     */
    void closeOverdue() {
        long nowMs = clock.monotonicMs();
        lingering.values().stream()
                .takeWhile(discarded -> discarded.closeAtMs <= nowMs)
                .toList()
                .forEach(DiscardedInput::close);
    }

    /** Called when a socket has been closed, whether it lingered or not. */
    void onClosed(NetSocket socket) {
        lingering.remove(socket);
        vertx.setTimer(DESCRIPTOR_RELEASE_MS, timer -> limits.onDescriptorReleased());
    }

    /** Returns the number of connections whose last responses the operating system has not accepted yet. */
    int unflushed() {
        return unflushed;
    }

    /** Logs that bytes were received after the end of a connection and discarded. */
    void logDiscarded(int bytes) {
        String during = status.isClosingIdle() ? ", in a planned restart" : "";
        log.rateLimited("client bytes after its end", bytes + " bytes, not read" + during);
    }

    /** Discards the input of one lingering connection. */
    private final class DiscardedInput {
        private final NetSocket socket;
        private final long closeAtMs;
        private int bytes;

        private DiscardedInput(NetSocket socket, long closeAtMs) {
            this.socket = socket;
            this.closeAtMs = closeAtMs;
        }

        private void onBytes(Buffer received) {
            bytes += received.length();
            logDiscarded(received.length());
            if (exceedsLimit()) {
                NioSockets.stopReading(socket);
            }
        }

        private boolean exceedsLimit() {
            return bytes > MAX_DISCARDED_BYTES;
        }

        /** Closes the socket; reads the remaining input first, unless the client has exceeded the limit. */
        private void close() {
            lingering.remove(socket);
            if (!exceedsLimit()) {
                NioSockets.readNow(socket);
            }
            socket.close();
        }
    }
}
