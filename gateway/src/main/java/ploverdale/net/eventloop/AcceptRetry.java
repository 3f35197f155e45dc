package ploverdale.net.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Resumes accepting connections a few milliseconds after a failed accept. Runs on the event loop of the listening
 * channel.
 *
 * <p>After EMFILE, ENFILE, ENOBUFS or ENOMEM, the connection stays in the kernel's accept queue and the socket stays
 * readable, so accepting again at once would fail in a busy loop. Netty's acceptor therefore stops accepting for a
 * second, which is longer than the timeout of many requests. This handler precedes it in the pipeline and stops
 * accepting for less time, so that the acceptor finds nothing left to do.
 */
@ChannelHandler.Sharable
final class AcceptRetry extends ChannelInboundHandlerAdapter {
    /**
     * Delay before accepting again: at most 200 failing calls per second while resources are lacking, and short
     * compared with the shortest timeouts of requests.
     */
    static final long RETRY_DELAY_MS = 5;

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        Channel listener = context.channel();
        if (listener.config().isAutoRead()) {
            listener.config().setAutoRead(false);
            listener.eventLoop()
                    .schedule(() -> listener.config().setAutoRead(true), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
        context.fireExceptionCaught(failure);
    }
}
