package ploverdale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.DefaultSocketChannelConfig;
import io.netty.channel.socket.InternetProtocolFamily;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.spi.transport.Transport;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.channels.SocketChannel;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Real sockets whose system calls fail or transfer fewer bytes as a test specifies, by call, errno and remote port. A
 * failure is reported as the JDK reports that errno: {@code handleSocketError} of {@code sun.nio.ch.Net} for sockets and
 * connects, a plain {@link IOException} with the system's text for accepts, reads and writes; EINTR as nothing done.
 */
public final class FaultyTransport implements Transport {
    /** Instead of a remote port: connections accepted from clients. */
    public static final int CLIENTS = 0;

    private static final int ANY = -1;
    private static final int ALL_BUT_LAST = Integer.MAX_VALUE;

    /** A system call. */
    public enum Call {
        LISTENER_SOCKET,
        ACCEPT,
        SOCKET,
        CONNECT,
        FINISH_CONNECT,
        READ,
        WRITE,
        SHUTDOWN,
        SET_OPTION,
        DATAGRAM_SOCKET,
        SEND,
        RECEIVE
    }

    /** An errno, with the C library's text for it. */
    public enum Errno {
        ECONNABORTED("Software caused connection abort"),
        ECONNREFUSED("Connection refused"),
        ECONNRESET("Connection reset by peer"),
        EADDRNOTAVAIL("Cannot assign requested address"),
        EHOSTUNREACH("No route to host"),
        EINTR("Interrupted system call"),
        EINVAL("Invalid argument"),
        EMFILE("Too many open files"),
        ENETUNREACH("Network is unreachable"),
        ENFILE("Too many open files in system"),
        ENOBUFS("No buffer space available"),
        ENOMEM("Cannot allocate memory"),
        ENOTCONN("Transport endpoint is not connected"),
        EPERM("Operation not permitted"),
        ETIMEDOUT("Connection timed out");

        private final String text;

        Errno(String text) {
            this.text = text;
        }

        private IOException exception(Call call) {
            if (call == Call.ACCEPT || call == Call.READ || call == Call.WRITE) {
                return new IOException(text);
            }
            return switch (this) {
                case ECONNREFUSED, ETIMEDOUT, ENOTCONN -> new ConnectException(text);
                case EHOSTUNREACH -> new NoRouteToHostException(text);
                case EADDRNOTAVAIL -> new BindException(text);
                default -> new SocketException(text);
            };
        }
    }

    /** A fault that makes a given number of calls fail, or fewer if {@link #end} is called before. */
    public final class Fault {
        private final Call call;
        private final int port;
        private final Errno errno;
        private final AtomicInteger left;
        private final AtomicInteger bytesBefore;
        private final AtomicInteger failed = new AtomicInteger();

        private Fault(Call call, int port, Errno errno, int times, int bytesBefore) {
            this.call = call;
            this.port = port;
            this.errno = errno;
            this.left = new AtomicInteger(times);
            this.bytesBefore = new AtomicInteger(bytesBefore);
        }

        private boolean covers(Call which, int remote) {
            return which == call && (port == ANY || port == remote);
        }

        /** Returns how many calls have failed because of this fault. */
        public int failed() {
            return failed.get();
        }

        public void end() {
            faults.remove(this);
        }
    }

    private final Transport real = io.vertx.core.transport.Transport.NIO.implementation();
    private final List<Fault> faults = new CopyOnWriteArrayList<>();
    private final Map<Call, AtomicLong> calls = new EnumMap<>(Call.class);
    private volatile int bytesAtOnce = Integer.MAX_VALUE;
    private volatile Storm storm;

    private record Storm(Random random, double share, Map<Call, List<Errno>> errnos, boolean clientsToo) {
        private boolean covers(Call call, int port) {
            boolean ofClient = port == CLIENTS && (call == Call.READ || call == Call.WRITE);
            return errnos.containsKey(call) && (clientsToo || !ofClient);
        }
    }

    public FaultyTransport() {
        for (Call call : Call.values()) {
            calls.put(call, new AtomicLong());
        }
    }

    /** From now on this call fails the given number of times, for any remote port. */
    public Fault fail(Call call, Errno errno, int times) {
        return fail(call, ANY, errno, times);
    }

    /** Does the same for sockets with this remote port, or for {@link #CLIENTS}. */
    public Fault fail(Call call, int port, Errno errno, int times) {
        return added(new Fault(call, port, errno, times, 0));
    }

    /** Makes one write to this port fail after this many bytes have been written. */
    public Fault failWriteAfter(int bytes, int port, Errno errno) {
        return added(new Fault(Call.WRITE, port, errno, 1, bytes));
    }

    /** Makes the next write to this port fail after all but its last byte have been written. */
    public Fault failWriteBeforeLastByte(int port, Errno errno) {
        return added(new Fault(Call.WRITE, port, errno, 1, ALL_BUT_LAST));
    }

    private Fault added(Fault fault) {
        faults.add(fault);
        return fault;
    }

    /**
     * From now on this share of the given calls fails at random, each with one of its errnos.
     *
     * @param seed seed of the random choices
     * @param clientsToo whether reads and writes on client connections fail too
     */
    public void storm(long seed, double share, Map<Call, List<Errno>> errnos, boolean clientsToo) {
        storm = new Storm(new Random(seed), share, errnos, clientsToo);
    }

    public void calm() {
        storm = null;
        faults.clear();
    }

    /** From now on a read or a write transfers at most this many bytes. */
    public void shorten(int bytes) {
        bytesAtOnce = bytes;
    }

    /** Returns how often this call was made, failed calls included. */
    public long calls(Call call) {
        return calls.get(call).get();
    }

    private Errno errno(Call call, int port) {
        calls.get(call).incrementAndGet();
        for (Fault fault : faults) {
            if (fault.covers(call, port) && fault.bytesBefore.get() <= 0 && fault.left.getAndDecrement() > 0) {
                fault.failed.incrementAndGet();
                return fault.errno;
            }
        }
        Storm now = storm;
        if (now == null || !now.covers(call, port)) {
            return null;
        }
        List<Errno> errnos = now.errnos.get(call);
        synchronized (now.random) { // the listening socket has an event loop of its own
            return now.random.nextDouble() < now.share ? errnos.get(now.random.nextInt(errnos.size())) : null;
        }
    }

    /** Returns whether the call is interrupted (EINTR) and does nothing; throws for any other errno. */
    private boolean interrupted(Call call, int port) throws IOException {
        Errno errno = errno(call, port);
        if (errno != null && errno != Errno.EINTR) {
            throw errno.exception(call);
        }
        return errno != null;
    }

    /** Returns how many of these bytes the next write may take, considering faults that start after some bytes. */
    private int writable(int port, int bytes) {
        int most = Math.min(bytes, bytesAtOnce);
        for (Fault fault : faults) {
            int before = fault.bytesBefore.get();
            if (fault.covers(Call.WRITE, port) && before > 0) {
                most = Math.min(most, before == ALL_BUT_LAST ? bytes - 1 : before);
            }
        }
        return most;
    }

    private void written(int port, int bytes) {
        for (Fault fault : faults) {
            if (fault.covers(Call.WRITE, port)) {
                fault.bytesBefore.updateAndGet(before -> before == ALL_BUT_LAST ? 0 : before - bytes);
            }
        }
    }

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        return real.ioHandlerFactory();
    }

    @Override
    public DatagramChannel datagramChannel() {
        return faulty(real::datagramChannel);
    }

    @Override
    public DatagramChannel datagramChannel(InternetProtocolFamily family) {
        return faulty(() -> real.datagramChannel(family));
    }

    private DatagramChannel faulty(ChannelFactory<DatagramChannel> made) {
        opened(Call.DATAGRAM_SOCKET);
        DatagramChannel channel = made.newChannel();
        channel.pipeline().addFirst(new Datagrams());
        return channel;
    }

    private void opened(Call call) {
        try {
            interrupted(call, ANY);
        } catch (IOException e) {
            throw new ChannelException("Failed to open a socket.", e);
        }
    }

    @Override
    public ChannelFactory<? extends io.netty.channel.Channel> channelFactory(boolean domainSocket) {
        return () -> {
            opened(Call.SOCKET);
            try {
                return new Connection(null, SocketChannel.open());
            } catch (IOException e) {
                throw new ChannelException("Failed to open a socket.", e);
            }
        };
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        return () -> {
            opened(Call.LISTENER_SOCKET);
            return new Listener();
        };
    }

    private final class Listener extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (interrupted(Call.ACCEPT, CLIENTS)) {
                return 0;
            }
            SocketChannel socket = javaChannel().accept();
            if (socket == null) {
                return 0;
            }
            accepted.add(new Connection(this, socket));
            return 1;
        }
    }

    private final class Connection extends NioSocketChannel {
        private final SocketChannelConfig options;
        private int port = CLIENTS;

        private Connection(io.netty.channel.Channel parent, SocketChannel socket) {
            super(parent, socket);
            options = new DefaultSocketChannelConfig(this, socket.socket()) {
                @Override
                protected void autoReadCleared() {
                    clearReadPending();
                }

                @Override
                public <T> boolean setOption(ChannelOption<T> option, T value) {
                    try {
                        if (option == ChannelOption.TCP_NODELAY) {
                            interrupted(Call.SET_OPTION, parent == null ? ANY : CLIENTS);
                        }
                    } catch (IOException e) {
                        throw new ChannelException(e);
                    }
                    return super.setOption(option, value);
                }
            };
        }

        @Override
        public SocketChannelConfig config() {
            return options == null ? super.config() : options;
        }

        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            port = ((InetSocketAddress) remote).getPort();
            try {
                interrupted(Call.CONNECT, port); // EINTR: the connect proceeds all the same
                boolean connected = super.doConnect(remote, local);
                if (connected) { // often at once on loopback: faults of FINISH_CONNECT apply here then
                    interrupted(Call.FINISH_CONNECT, port);
                }
                return connected;
            } catch (IOException e) {
                doClose(); // as the JDK does on failure
                throw e;
            }
        }

        @Override
        protected void doFinishConnect() throws Exception {
            interrupted(Call.FINISH_CONNECT, port);
            super.doFinishConnect();
        }

        @Override
        protected int doReadBytes(ByteBuf to) throws Exception {
            if (interrupted(Call.READ, port)) {
                return 0;
            }
            unsafe().recvBufAllocHandle().attemptedBytesRead(to.writableBytes());
            return to.writeBytes(javaChannel(), Math.min(to.writableBytes(), bytesAtOnce));
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer waiting) throws Exception {
            for (Object next = waiting.current(); next != null; next = waiting.current()) {
                ByteBuf bytes = (ByteBuf) next;
                int asked = bytes.readableBytes();
                if (asked == 0) {
                    waiting.remove();
                    continue;
                }
                int done = 0;
                if (!interrupted(Call.WRITE, port)) {
                    done = bytes.getBytes(bytes.readerIndex(), javaChannel(), writable(port, asked));
                    written(port, done);
                    waiting.removeBytes(done);
                }
                if (done < asked) {
                    incompleteWrite(true);
                    return;
                }
            }
            clearOpWrite();
        }

        @Override
        public ChannelFuture shutdownOutput(ChannelPromise promise) {
            try {
                interrupted(Call.SHUTDOWN, port);
            } catch (IOException e) {
                return promise.setFailure(e);
            }
            return super.shutdownOutput(promise);
        }
    }

    /** Netty's datagram channel is final, so this handler reports failures in the way the channel does. */
    private final class Datagrams extends ChannelDuplexHandler {
        @Override
        public void write(ChannelHandlerContext context, Object datagram, ChannelPromise promise) {
            try {
                interrupted(Call.SEND, ANY);
            } catch (IOException e) {
                ReferenceCountUtil.release(datagram);
                promise.setFailure(e);
                return;
            }
            context.write(datagram, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object datagram) {
            try {
                interrupted(Call.RECEIVE, ANY);
            } catch (IOException e) {
                ReferenceCountUtil.release(datagram);
                context.fireExceptionCaught(e);
                return;
            }
            context.fireChannelRead(datagram);
        }
    }
}
