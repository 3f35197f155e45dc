package ploverdale.net.peer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import ploverdale.clock.ServerClock;
import ploverdale.gossip.DatagramCodec;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.Event;

/**
 * Owns the datagram socket for the traffic with the other gateways. Passes received datagrams on together with the
 * number of the sender, and sends outgoing ones. Does not interpret or retransmit datagrams, and drops those from
 * addresses that are not configured as peers. A socket that fails is closed and opened again with exponential backoff,
 * until {@link #close}.
 *
 * <p>Used on the event loop only.
 */
public final class GossipTransport implements PeerTransport {
    /** Delay before the socket is opened again; doubled on each failure and reset by a received datagram. */
    private static final long FIRST_REOPEN_DELAY_MS = 20;

    private static final long MAX_REOPEN_DELAY_MS = 2000;

    private final Vertx vertx;
    private final Log log;
    private final Consumer<Event> events;
    private final List<InetSocketAddress> peers;
    private final Map<String, Integer> peerNumbers = new HashMap<>(); // by "host:port"
    /** Handles the datagrams of other protocols; see {@link #setDatagramInterceptor}. */
    private BiPredicate<Integer, byte[]> datagramInterceptor = (from, datagram) -> false;
    /** Null if gossip needs no conversion of times. */
    private ServerClock serverClock;

    private InetSocketAddress address;
    private DatagramSocket socket; // null while no socket is open
    private long reopenDelayMs = FIRST_REOPEN_DELAY_MS;
    private boolean gossipReceived;
    private boolean closed;

    /**
     * Creates a transport without a socket; {@link #listen} opens it.
     *
     * @param events receives an {@link Event.GossipReceived} for each gossip datagram
     * @param peers the address of each gateway, indexed by its number
     */
    public GossipTransport(Vertx vertx, Log log, Consumer<Event> events, List<InetSocketAddress> peers) {
        this.vertx = vertx;
        this.log = log;
        this.events = events;
        this.peers = peers;
        for (int i = 0; i < peers.size(); i++) {
            InetSocketAddress peer = peers.get(i);
            peerNumbers.put(hostAndPort(peer.getAddress().getHostAddress(), peer.getPort()), i);
        }
    }

    private static String hostAndPort(String host, int port) {
        return host + ":" + port;
    }

    /**
     * Sets the reader that sees each datagram before it is treated as gossip. It is called with the number of the
     * sender and the bytes, and returns true if it has handled the datagram.
     */
    public void setDatagramInterceptor(BiPredicate<Integer, byte[]> interceptor) {
        datagramInterceptor = interceptor;
    }

    /**
     * Sets the clock that converts the sending times of gossip between this gateway's time and the wall clock of the
     * servers. While the offset of that clock is unknown, gossip is neither sent nor received.
     */
    public void setServerClock(ServerClock clock) {
        serverClock = clock;
    }

    @Override
    public boolean isEnabled() {
        return true;
    }

    /**
     * {@inheritDoc} A failure does not prevent the gateway from starting, since without the socket it only misses the
     * messages of its peers. Opening the socket is retried until it succeeds.
     */
    @Override
    public Future<Void> listen(InetSocketAddress listenAddress) {
        address = listenAddress;
        return open();
    }

    private Future<Void> open() {
        DatagramSocket opening;
        try {
            opening = vertx.createDatagramSocket(new DatagramSocketOptions());
        } catch (RuntimeException failure) {
            // broad catch: the type of the exception depends on the system call that failed
            reopenLater("cannot be opened: " + failure);
            return Future.succeededFuture();
        }
        return opening.listen(address.getPort(), address.getAddress().getHostAddress())
                .<Void>mapEmpty()
                .onSuccess(x -> {
                    socket = opening;
                    opening.handler(this::onDatagram);
                    opening.exceptionHandler(failure -> onReceiveFailure(opening, failure));
                })
                .otherwise(failure -> {
                    opening.close();
                    reopenLater("cannot be bound: " + failure);
                    return null;
                });
    }

    /** Replaces the socket after a failed receive: Vert.x closes the socket on any such failure. */
    private void onReceiveFailure(DatagramSocket failedSocket, Throwable failure) {
        if (failedSocket == socket) {
            socket = null;
            failedSocket.close();
            reopenLater(String.valueOf(failure.getMessage()));
        }
    }

    private void reopenLater(String reason) {
        if (closed) {
            return;
        }
        log.rateLimited(
                "no words with other instances",
                "socket at " + address + ", again in " + reopenDelayMs + " ms: " + reason);
        vertx.setTimer(reopenDelayMs, x -> {
            if (!closed) {
                open();
            }
        });
        reopenDelayMs = Math.min(MAX_REOPEN_DELAY_MS, reopenDelayMs * 2);
    }

    private void onDatagram(DatagramPacket datagram) {
        reopenDelayMs = FIRST_REOPEN_DELAY_MS;
        Integer from = peerNumbers.get(
                hostAndPort(datagram.sender().hostAddress(), datagram.sender().port()));
        if (from == null) {
            log.rateLimited("a word of a stranger", datagram.sender() + ", not read");
            return;
        }
        byte[] bytes = datagram.data().getBytes();
        if (datagramInterceptor.test(from, bytes)) {
            return;
        }
        if (canConvertTimes()) {
            gossipReceived = true;
            events.accept(new Event.GossipReceived(from, toServiceTime(bytes)));
        }
    }

    /** Returns whether the sending times of gossip can be converted now. */
    private boolean canConvertTimes() {
        return serverClock == null || serverClock.isKnown();
    }

    private byte[] toServiceTime(byte[] gossip) {
        return serverClock == null ? gossip : DatagramCodec.shiftSentAt(gossip, -serverClock.offset());
    }

    private byte[] toWallTime(byte[] gossip) {
        return serverClock == null ? gossip : DatagramCodec.shiftSentAt(gossip, serverClock.offset());
    }

    @Override
    public boolean hasReceivedGossip() {
        return gossipReceived;
    }

    @Override
    public void sendGossip(Action.SendGossip gossip) {
        if (canConvertTimes()) {
            send(gossip.peer(), toWallTime(gossip.bytes()));
        }
    }

    /**
     * {@inheritDoc} Nothing is sent before the socket is bound: sending on an unbound socket binds it to a random port,
     * on which it would receive nothing.
     */
    @Override
    public void send(int peer, byte[] datagram) {
        if (socket == null || peer < 0 || peer >= peers.size()) {
            return;
        }
        InetSocketAddress to = peers.get(peer);
        socket.send(Buffer.buffer(datagram), to.getPort(), to.getAddress().getHostAddress())
                .onFailure(failure -> log.rateLimited("a word not sent", String.valueOf(failure.getMessage())));
    }

    @Override
    public void close() {
        closed = true;
        if (socket != null) {
            socket.close();
        }
    }
}
