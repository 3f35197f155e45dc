package ploverdale.net.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import java.util.concurrent.TimeUnit;

/**
 * Accepts no more connections than the clients' event loop can set up between two reads of its sockets. Runs on the event
 * loop of the listening channel, which is not that of the clients.
 *
 * <p>Each accepted connection is a task of the clients' event loop, and Netty runs its tasks for up to a second before
 * it reads sockets and runs timers again. Without a limit, clients that connect faster than their connections are set up
 * would keep all others waiting for that long, again and again. The connections that are not accepted yet wait in the
 * kernel's accept queue.
 */
final class AcceptPacing extends ChannelInboundHandlerAdapter {
    /** Connections that are accepted at a time; setting one up takes a fraction of a millisecond. */
    static final int MAX_ACCEPTS = 8;

    private Channel lastAccepted; // null if nothing has been accepted since the last pause

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        MaxMessagesRecvByteBufAllocator accepts = context.channel().config().getRecvByteBufAllocator();
        accepts.maxMessagesPerRead(MAX_ACCEPTS);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object accepted) {
        context.fireChannelRead(accepted);
        lastAccepted = (Channel) accepted;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (lastAccepted != null) {
            Channel listener = context.channel();
            listener.config().setAutoRead(false);
            // a scheduled task runs in the next turn, whereas a plain task may run in the same turn
            lastAccepted
                    .eventLoop()
                    .schedule(
                            () -> listener.eventLoop()
                                    .execute(() -> listener.config().setAutoRead(true)),
                            0,
                            TimeUnit.NANOSECONDS);
            lastAccepted = null;
        }
        context.fireChannelReadComplete();
    }
}
