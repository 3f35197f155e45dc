package ploverdale.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.vertx.core.spi.transport.Transport;
import ploverdale.clock.Clock;
import ploverdale.net.client.AcceptRetry;

/**
 * Owns how the event loop waits: as Java's selector does, but asleep up to its next timer. That selector waits for whole
 * milliseconds and the loop rounds them to the nearest, so that it polls without a pause for the last half of one before
 * each timer: some hundred calls a second that do nothing, and far more where a clock stands while others run. Here a wait is
 * rounded up; a timer fires a part of a millisecond later. Must never keep the loop from a task or from bytes that came.
 *
 * <p>The loop reads its sockets and runs its timers behind that. When the process is paused in between, by a signal or for
 * want of processor time, or while it waits (the wait then ends as timed out, with nothing to read), timers that came due
 * during the pause would run before the bytes that came during it: an answer that is there would be given up as missing, a
 * connection with a request in it closed as idle. So a turn that took longer than it should reads once more.
 */
final class SleepingTransport implements io.vertx.core.transport.Transport, Transport {
    private static final long MS = 1_000_000; // in nanoseconds
    private static final long LATE =
            5 * MS; // longer than a wait and the reading behind it usually take beyond the wait
    private static final int READS_AGAIN_MOST = 2; // in a turn, so that a flood keeps no timer from running

    private final AcceptRetry acceptRetry = new AcceptRetry();
    private final Transport nio;

    SleepingTransport() {
        this(io.vertx.core.transport.Transport.NIO.implementation());
    }

    /** Makes its channels with this one. */
    SleepingTransport(Transport nio) {
        this.nio = nio;
    }

    @Override
    public String name() {
        return "nio";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public Transport implementation() {
        return this;
    }

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        IoHandlerFactory inner = nio.ioHandlerFactory();
        return executor -> new Sleeping(inner.newHandler(executor));
    }

    @Override
    public DatagramChannel datagramChannel() {
        return nio.datagramChannel();
    }

    @Override
    public DatagramChannel datagramChannel(InternetProtocolFamily family) {
        return nio.datagramChannel(family);
    }

    @Override
    public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
        return nio.channelFactory(domainSocket);
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        ChannelFactory<? extends ServerChannel> listeners = nio.serverChannelFactory(domainSocket);
        return () -> {
            ServerChannel listener = listeners.newChannel();
            listener.pipeline().addFirst(acceptRetry);
            return listener;
        };
    }

    /** The wait for a timer that is due in so many nanoseconds. */
    static long wholeMs(long nanos) {
        return nanos <= 0 || nanos > Long.MAX_VALUE - MS ? nanos : (nanos + MS - 1) / MS * MS;
    }

    /** Hands the selector its waits rounded up, reads once more after a pause, and leaves all else as it is. */
    record Sleeping(IoHandler inner) implements IoHandler {
        @Override
        public int run(IoHandlerContext loop) {
            long began = Clock.system().nanos();
            long longest = loop.canBlock() ? wholeMs(loop.delayNanos(began)) : 0;
            int handled = inner.run(new Rounded(loop, true));
            for (int i = 0; i < READS_AGAIN_MOST && Clock.system().nanos() - began - longest > LATE; i++) {
                began = Clock.system().nanos();
                longest = 0;
                handled += inner.run(new Rounded(loop, false));
            }
            return handled;
        }

        @Override
        public void initialize() {
            inner.initialize();
        }

        @Override
        public void prepareToDestroy() {
            inner.prepareToDestroy();
        }

        @Override
        public void destroy() {
            inner.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return inner.register(handle);
        }

        @Override
        public void wakeup() {
            inner.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return inner.isCompatible(type);
        }
    }

    private record Rounded(IoHandlerContext loop, boolean mayBlock) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return mayBlock && loop.canBlock(); // asked anew each time: another thread may add a task meanwhile
        }

        @Override
        public long delayNanos(long now) {
            return wholeMs(loop.delayNanos(now));
        }

        @Override
        public long deadlineNanos() {
            return loop.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            loop.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return loop.shouldReportActiveIoTime();
        }
    }
}
