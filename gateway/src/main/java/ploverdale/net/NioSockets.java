package ploverdale.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/** What can be done to a socket at once, within a turn of the event loop, and Vert.x leaves to later turns. */
public final class NioSockets {
    private NioSockets() {}

    /**
     * Hands the socket's handler what the operating system holds for it, a few buffers at most. The event loop reads its
     * sockets first and runs its timers behind that, so a process that was paused between the two acts on timers while
     * requests from during the pause are still unread. Whoever is about to close a connection as idle asks here first.
     */
    public static void readNow(NetSocket socket) {
        Channel channel = channel(socket);
        if (channel.isActive() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
    }

    /** Whether the connection is still open, as far as this process has read it; false right after its end was read. */
    public static boolean isOpen(NetSocket socket) {
        return channel(socket).isOpen();
    }

    /** Leaves what comes from now on unread, in the operating system. */
    public static void stopReading(NetSocket socket) {
        channel(socket).config().setAutoRead(false);
    }

    /** Sends the end of the output at once; false, with nothing done, where earlier output has not been taken by the system. */
    public static boolean shutdownOutputNow(NetSocket socket) {
        Channel channel = channel(socket);
        ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
        if (waiting == null || !waiting.isEmpty() || !(channel instanceof DuplexChannel duplex)) {
            return false;
        }
        duplex.shutdownOutput();
        return true;
    }

    private static Channel channel(NetSocket socket) {
        return ((NetSocketInternal) socket).channelHandlerContext().channel();
    }
}
