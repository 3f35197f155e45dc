package ploverdale.net.eventloop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
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

/**
 * The NIO transport with two changes: it sleeps until timers are due instead of polling, and reads again after a pause.
 *
 * <p>Netty's NIO selector rounds its wait to the nearest millisecond, so it may poll without blocking for up to half a
 * millisecond before each timer. That costs some hundred useless system calls per second, and far more if reading the
 * clock is slow. This transport rounds each wait up, so that a timer fires up to a millisecond later. Tasks and bytes
 * that arrive end a wait as usual.
 *
 * <p>The event loop reads its sockets and then runs its timers. If the process is paused between the two, or during the
 * wait (which then ends by its timeout with nothing to read), timers that became due during the pause would run before
 * the bytes that arrived during it are read: an answer that has arrived would count as missing, and a connection with
 * an unread request would be closed as idle. So a turn of the loop that took too long reads again before timers run.
 */
final class SleepingTransport implements io.vertx.core.transport.Transport, Transport {
    private static final long NANOS_PER_MS = 1_000_000;

    /** A turn that exceeds its requested wait by more than this was delayed; the reads of a turn usually take less. */
    private static final long PAUSE_NANOS = 5 * NANOS_PER_MS;

    /**
     * Maximum number of extra reads in one turn of the loop, so that a flood of input cannot delay timers
     * indefinitely.
     */
    private static final int MAX_EXTRA_READS = 2;

    private final AcceptRetry acceptRetry = new AcceptRetry();
    private final Transport nio;
    private volatile EventLoop clientLoop;

    /** Creates a transport on the NIO transport of Vert.x. */
    SleepingTransport() {
        this(io.vertx.core.transport.Transport.NIO.implementation());
    }

    /**
     * Creates a transport on another NIO transport.
     *
     * @param nio creates the channels and the selector
     */
    SleepingTransport(Transport nio) {
        this.nio = nio;
    }

    /** Sets the event loop that sets accepted connections up. To be called before a server listens. */
    void setClientLoop(EventLoop loop) {
        clientLoop = loop;
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
        return executor -> new SleepingIoHandler(inner.newHandler(executor));
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
            listener.pipeline().addFirst(acceptRetry, new AcceptPacing(() -> clientLoop));
            return listener;
        };
    }

    /**
     * Returns the wait for a timer that is due in so many nanoseconds, rounded up to whole milliseconds. A value of 0
     * or less (the timer is due) and a value too large to round (there is no timer) are returned unchanged.
     */
    static long roundUpToMs(long nanos) {
        return nanos <= 0 || nanos > Long.MAX_VALUE - NANOS_PER_MS
                ? nanos
                : (nanos + NANOS_PER_MS - 1) / NANOS_PER_MS * NANOS_PER_MS;
    }

    /** Rounds up the waits of another handler, and has it read again after a pause. */
    record SleepingIoHandler(IoHandler inner) implements IoHandler {
        @Override
        public int run(IoHandlerContext loop) {
            long startedAt = Clock.system().nanos();
            long maxWait = loop.canBlock() ? roundUpToMs(loop.delayNanos(startedAt)) : 0;
            int handled = inner.run(new RoundedUpContext(loop, true));
            for (int i = 0; i < MAX_EXTRA_READS && Clock.system().nanos() - startedAt - maxWait > PAUSE_NANOS; i++) {
                startedAt = Clock.system().nanos();
                maxWait = 0;
                handled += inner.run(new RoundedUpContext(loop, false));
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

    /** The context of one turn of the loop, with its wait rounded up; for an extra read, without a wait. */
    private record RoundedUpContext(IoHandlerContext loop, boolean mayBlock) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return mayBlock && loop.canBlock(); // evaluated on each call: another thread may add a task at any time
        }

        @Override
        public long delayNanos(long now) {
            return roundUpToMs(loop.delayNanos(now));
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
