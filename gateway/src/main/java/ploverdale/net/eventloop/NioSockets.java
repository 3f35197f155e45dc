package ploverdale.net.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * Operations on a socket that take effect within the current turn of the event loop, where Vert.x leaves them to later turns.
 * All are to be called on the socket's event loop.
 */
public final class NioSockets {
    private NioSockets() {}

    /**
     * Hands the socket's handler what the operating system has buffered for it, a few buffers at most. The event loop reads its
     * sockets first and runs its timers after that, so a process that was paused between the two runs timers while requests
     * from during the pause are still unread. Call this before a connection is closed as idle.
     */
    public static void readNow(NetSocket socket) {
        Channel channel = channel(socket);
        if (channel.isActive() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
    }

    /** Whether the connection is still open as far as this process has read it; false right after its end was read. */
    public static boolean isOpen(NetSocket socket) {
        return channel(socket).isOpen();
    }

    /** Leaves what arrives from now on unread, in the operating system. */
    public static void stopReading(NetSocket socket) {
        channel(socket).config().setAutoRead(false);
    }

    /**
     * Shuts the output down at once.
     *
     * @return false, with nothing done, where earlier output has not been taken by the operating system
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
