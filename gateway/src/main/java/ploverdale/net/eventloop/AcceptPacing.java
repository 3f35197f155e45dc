package ploverdale.net.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

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

    private final Supplier<EventLoop> clientLoop;
    private boolean hasAccepted; // since the last pause

    /** @param clientLoop returns the event loop that sets the connections up; evaluated when one has been accepted */
    AcceptPacing(Supplier<EventLoop> clientLoop) {
        this.clientLoop = clientLoop;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        MaxMessagesRecvByteBufAllocator accepts = context.channel().config().getRecvByteBufAllocator();
        accepts.maxMessagesPerRead(MAX_ACCEPTS);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object accepted) {
        context.fireChannelRead(accepted);
        hasAccepted = true;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (hasAccepted) {
            hasAccepted = false;
            Channel listener = context.channel();
            listener.config().setAutoRead(false);
            // The loop is not asked of the connection, which has none if it could not be set up.
            // A scheduled task runs in the next turn, whereas a plain task may run in the same turn
            clientLoop
                    .get()
                    .schedule(
                            () -> listener.eventLoop()
                                    .execute(() -> listener.config().setAutoRead(true)),
                            0,
                            TimeUnit.NANOSECONDS);
        }
        context.fireChannelReadComplete();
    }
}
