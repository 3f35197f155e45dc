package ploverdale.net.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Accepts again a few milliseconds after a failed accept, on a listening channel's event loop.
 *
 * <p>EMFILE, ENFILE, ENOBUFS and ENOMEM leave the connection in the system's queue, so the socket stays readable and accepting at
 * once would fail in a busy loop. Netty's own acceptor therefore stops accepting for a whole second, longer than many
 * requests may take. This handler comes before it and stops accepting first, which leaves the acceptor nothing to do.
 */
@ChannelHandler.Sharable
public final class AcceptRetry extends ChannelInboundHandlerAdapter {
    /** Some 200 failing calls a second while the lack lasts; short beside the shortest deadlines of requests. */
    static final long RETRY_AFTER_MS = 5;

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable failure) {
        Channel listener = context.channel();
        if (listener.config().isAutoRead()) {
            listener.config().setAutoRead(false);
            listener.eventLoop()
                    .schedule(() -> listener.config().setAutoRead(true), RETRY_AFTER_MS, TimeUnit.MILLISECONDS);
        }
        context.fireExceptionCaught(failure);
    }
}
