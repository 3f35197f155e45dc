package ploverdale.net.client;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.LinkedHashSet;
import java.util.Set;
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
    private final Set<NetSocket> lingering = new LinkedHashSet<>(); // oldest first
    private int unflushed;

    LingeringClose(Vertx vertx, Log log, ConnectionLimits<ClientSession> limits, ServiceStatus status) {
        this.vertx = vertx;
        this.log = log;
        this.limits = limits;
        this.status = status;
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
        lingering.add(socket);
        DiscardedInput discarded = new DiscardedInput(socket);
        socket.handler(discarded::onBytes);
        vertx.setTimer(LINGER_MS, timer -> discarded.close());
        closeOldest(limits.excessConnections());
    }

    /** Closes the given number of lingering connections, oldest first; none if the number is 0 or negative. */
    void closeOldest(int count) {
        for (NetSocket socket : lingering.stream().limit(Math.max(0, count)).toList()) {
            lingering.remove(socket);
            NioSockets.readNow(socket);
            socket.close();
        }
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
        private int bytes;

        private DiscardedInput(NetSocket socket) {
            this.socket = socket;
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
            if (!exceedsLimit()) {
                NioSockets.readNow(socket);
            }
            socket.close();
        }
    }
}
