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
 * Owns the one datagram socket to the other gateways: hands on what arrives together with its sender, and sends what it
 * is given. Decodes no message, repeats none, and drops those from an address that is not a peer's. A socket that fails is
 * closed and opened again with a backoff, until {@link #close}.
 *
 * <p>Used on the event loop only.
 */
public final class GossipTransport implements PeerTransport {
    private static final long FIRST_REOPEN_DELAY_MS = 20; // doubled each time, until a datagram has arrived
    private static final long MAX_REOPEN_DELAY_MS = 2000;

    private final Vertx vertx;
    private final Log log;
    private final Consumer<Event> events;
    private final List<InetSocketAddress> peers;
    private final Map<String, Integer> peerNumbers = new HashMap<>(); // by host and port
    private BiPredicate<Integer, byte[]> firstReader = (from, datagram) -> false;
    private ServerClock serverClock; // null: all gateways read the same clock
    private InetSocketAddress address;
    private DatagramSocket socket; // null while none is listening
    private long reopenDelayMs = FIRST_REOPEN_DELAY_MS;
    private boolean received;
    private boolean closed;

    /**
     * @param events receives {@link Event.GossipReceived}
     * @param peers the address of each gateway, by its number
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
     * Sets who sees each datagram first, with the number of its sender; one for which it returns true is not handed on as
     * gossip.
     */
    public void setFirstReader(BiPredicate<Integer, byte[]> reader) {
        firstReader = reader;
    }

    /** Gossip is dated by the servers' wall clock from now on; while that is unknown, none is sent and none is read. */
    public void setServerClock(ServerClock clock) {
        serverClock = clock;
    }

    @Override
    public boolean isEnabled() {
        return true;
    }

    /**
     * {@inheritDoc} Without a socket only the other gateways' messages are missed, so a failure does not stop the start;
     * the socket is opened again and again until there is one.
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
            // broad catch: Vert.x throws whatever the system call failed with
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

    /** Vert.x closes a socket that failed to receive, whatever the failure was. */
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
        if (firstReader.test(from, bytes)) {
            return;
        }
        if (canDate()) {
            received = true;
            events.accept(new Event.GossipReceived(from, toServiceTime(bytes)));
        }
    }

    private boolean canDate() {
        return serverClock == null || serverClock.isKnown();
    }

    private byte[] toServiceTime(byte[] gossip) {
        return serverClock == null ? gossip : DatagramCodec.shiftSentAt(gossip, -serverClock.offset());
    }

    private byte[] toWallTime(byte[] gossip) {
        return serverClock == null ? gossip : DatagramCodec.shiftSentAt(gossip, serverClock.offset());
    }

    @Override
    public boolean hasReceived() {
        return received;
    }

    @Override
    public void sendGossip(Action.SendGossip gossip) {
        if (canDate()) {
            send(gossip.peer(), toWallTime(gossip.bytes()));
        }
    }

    /**
     * {@inheritDoc} Nothing is sent before the socket listens: the first datagram of an unbound socket would bind it to a
     * random port, and it would never receive one.
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
