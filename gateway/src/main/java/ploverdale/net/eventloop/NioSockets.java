package ploverdale.net.eventloop;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * Operations on a socket that take effect within the current turn of the event loop, whereas Vert.x defers them to
 * later turns. All methods are to be called on the socket's event loop.
 */
public final class NioSockets {
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 16 * 1024;
    private static final int MAX_READS_PER_TURN = 4;

    private NioSockets() {}

    /**
     * Reads what the operating system has buffered for the socket, a few buffers at most, and passes it to the socket's
     * handler. The event loop reads its sockets before it runs its timers. If the process is paused between the two,
     * timers run while requests that arrived during the pause are still unread. So call this before closing a
     * connection as idle.
     */
    public static void readNow(NetSocket socket) {
        Channel channel = channel(socket);
        if (channel.isActive() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
    }

    /**
     * Limits what a turn of the event loop reads from the socket. By default Netty reads 16 buffers of up to 64 KiB from
     * one socket before it reads the next.
     */
    public static void limitReads(NetSocket socket) {
        channel(socket)
                .config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(MAX_READS_PER_TURN));
    }

    /** Limits what a turn of the event loop, or {@link #readNow}, reads from the socket to one buffer. */
    public static void limitReadsToOne(NetSocket socket) {
        channel(socket)
                .config()
                .setRecvByteBufAllocator(new FixedRecvByteBufAllocator(MAX_READ_BYTES).maxMessagesPerRead(1));
    }

    /**
     * Returns whether the last read left nothing in the operating system's buffer: it brought less than it had room
     * for. False before the first read.
     */
    public static boolean lastReadWasShort(NetSocket socket) {
        RecvByteBufAllocator.Handle reads = channel(socket).unsafe().recvBufAllocHandle();
        return reads.lastBytesRead() < reads.attemptedBytesRead();
    }

    /** Returns whether the connection is open; false as soon as its end has been read, before Vert.x reports that. */
    public static boolean isOpen(NetSocket socket) {
        return channel(socket).isOpen();
    }

    /**
     * Stops reading at once: what arrives from now on stays in the operating system's buffer. Vert.x's own pause reads
     * on until it has buffered eight messages, and never releases these if the connection is closed meanwhile.
     */
    public static void stopReading(NetSocket socket) {
        channel(socket).config().setAutoRead(false);
    }

    /** Reads again after {@link #stopReading}. */
    public static void resumeReading(NetSocket socket) {
        channel(socket).config().setAutoRead(true);
    }

    /**
     * Shuts down the output at once.
     *
     * @return false, with nothing done, if the operating system has not accepted all earlier output yet
     */
    public static boolean shutdownOutputNow(NetSocket socket) {
        Channel channel = channel(socket);
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        if (pending == null || !pending.isEmpty() || !(channel instanceof DuplexChannel duplex)) {
            return false;
        }
        duplex.shutdownOutput();
        return true;
    }

    private static Channel channel(NetSocket socket) {
        return ((NetSocketInternal) socket).channelHandlerContext().channel();
    }
}
