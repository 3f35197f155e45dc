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
 * Closes connections without losing their last responses. A close while bytes are still to be read would reset the connection
 * and discard responses that are on their way. So the output is ended behind what was written, and the input is read and
 * dropped until the client closes, too, or a time limit has passed. Used on the event loop only.
 */
final class LingeringClose {
    /** For a client to close, too, once the output has been ended. */
    private static final long LINGER_MS = 500;
    /** What a client may write after its end; more is left unread, since reading it would cost a busy gateway time. */
    private static final int MAX_DROPPED_BYTES = 64 * 1024;
    /** The operating system has the descriptor of a closed socket back a moment later. */
    private static final long DESCRIPTOR_RELEASE_MS = 1;

    private final Vertx vertx;
    private final Log log;
    private final ConnectionLimits<ClientSession> limits;
    private final ServiceStatus status;
    private final Set<NetSocket> lingering = new LinkedHashSet<>(); // the longest first
    private int unflushed;

    LingeringClose(Vertx vertx, Log log, ConnectionLimits<ClientSession> limits, ServiceStatus status) {
        this.vertx = vertx;
        this.log = log;
        this.limits = limits;
        this.status = status;
    }

    /** Ends the output behind all that was written, then drops the input. To be called once a socket. */
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
        dropInput(socket);
    }

    /** Reads and drops what still comes on a connection whose output has been ended, and closes it after a while. */
    void dropInput(NetSocket socket) {
        lingering.add(socket);
        DroppedInput dropped = new DroppedInput(socket);
        socket.handler(dropped::onBytes);
        vertx.setTimer(LINGER_MS, timer -> dropped.close());
        closeOldest(limits.over());
    }

    /** Closes this many of the lingering connections for good, the longest first; none if it is 0 or less. */
    void closeOldest(int count) {
        for (NetSocket socket : lingering.stream().limit(Math.max(0, count)).toList()) {
            lingering.remove(socket);
            NioSockets.readNow(socket);
            socket.close();
        }
    }

    /** A socket has been closed, whether it lingered or not. */
    void onClosed(NetSocket socket) {
        lingering.remove(socket);
        vertx.setTimer(DESCRIPTOR_RELEASE_MS, timer -> limits.closed());
    }

    /** Connections whose last responses have not been taken by the operating system yet. */
    int unflushed() {
        return unflushed;
    }

    /** Logs bytes that came after the end of a connection. */
    void logDropped(int bytes) {
        String during = status.isClosingIdle() ? ", in a planned restart" : "";
        log.rateLimited("client bytes after its end", bytes + " bytes, not read" + during);
    }

    /** The input of one lingering connection. */
    private final class DroppedInput {
        private final NetSocket socket;
        private int bytes;

        private DroppedInput(NetSocket socket) {
            this.socket = socket;
        }

        private void onBytes(Buffer more) {
            bytes += more.length();
            logDropped(more.length());
            if (isFlood()) {
                socket.pause();
            }
        }

        private boolean isFlood() {
            return bytes > MAX_DROPPED_BYTES;
        }

        /** Closes the socket, with nothing left unread where that can be had. */
        private void close() {
            if (!isFlood()) {
                NioSockets.readNow(socket);
            }
            socket.close();
        }
    }
}
