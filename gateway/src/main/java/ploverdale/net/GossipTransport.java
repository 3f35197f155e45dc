package ploverdale.net;

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
import ploverdale.clock.ServerClock;
import ploverdale.gossip.Datagram;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.Event;

/**
 * Owns the one datagram socket to the other instances: tells the module what came and from whom, and sends what the
 * module says. Must never read or make a message, repeat one, answer one, or pass on one from an address that is not
 * among the instances'.
 */
final class GossipTransport {
    private static final long REOPEN_FIRST_MS = 20; // after a failure; doubled each time, until a datagram has come
    private static final long REOPEN_MOST_MS = 2000;

    private final Log log;
    private final RouterEventLoop loop;
    private final List<InetSocketAddress> peers;
    private final Map<String, Integer> numbers = new HashMap<>();
    private final Vertx vertx;
    private InetSocketAddress at;
    private DatagramSocket socket; // null while there is none that listens
    private boolean closed;
    private long reopenAfterMs = REOPEN_FIRST_MS;
    private boolean heard;
    private BiPredicate<Integer, byte[]> others = (from, bytes) -> false;
    private ServerClock time; // null: all read the same clock

    GossipTransport(Vertx vertx, Log log, RouterEventLoop loop, List<InetSocketAddress> peers) {
        this.vertx = vertx;
        this.log = log;
        this.loop = loop;
        this.peers = peers;
        for (int i = 0; i < peers.size(); i++) {
            numbers.put(
                    name(
                            peers.get(i).getAddress().getHostAddress(),
                            peers.get(i).getPort()),
                    i);
        }
    }

    private static String name(String host, int port) {
        return host + ":" + port;
    }

    /**
     * Done when it listens, or when that has failed for the first time. Without a socket only the other instances' messages are
     * missed, and it is opened again and again until there is one.
     */
    Future<Void> listen(InetSocketAddress at) {
        this.at = at;
        return open();
    }

    private Future<Void> open() {
        DatagramSocket opening;
        try {
            opening = vertx.createDatagramSocket(new DatagramSocketOptions());
        } catch (RuntimeException e) { // no descriptor or memory for it now
            reopenLater("cannot be opened: " + e);
            return Future.succeededFuture();
        }
        return opening.listen(at.getPort(), at.getAddress().getHostAddress())
                .<Void>mapEmpty()
                .onSuccess(x -> {
                    socket = opening;
                    opening.handler(this::came);
                    opening.exceptionHandler(e -> failed(opening, e));
                })
                .otherwise(e -> {
                    opening.close();
                    reopenLater("cannot be bound: " + e);
                    return null;
                });
    }

    /** The socket failed to receive; Vert.x closes it then, whatever the failure was. */
    private void failed(DatagramSocket which, Throwable e) {
        if (which == socket) {
            socket = null;
            which.close();
            reopenLater(String.valueOf(e.getMessage()));
        }
    }

    private void reopenLater(String why) {
        if (closed) {
            return;
        }
        log.often("no words with other instances", "socket at " + at + ", again in " + reopenAfterMs + " ms: " + why);
        vertx.setTimer(reopenAfterMs, x -> {
            if (!closed) {
                open();
            }
        });
        reopenAfterMs = Math.min(REOPEN_MOST_MS, reopenAfterMs * 2);
    }

    private void came(DatagramPacket p) {
        reopenAfterMs = REOPEN_FIRST_MS;
        Integer from = numbers.get(name(p.sender().hostAddress(), p.sender().port()));
        if (from == null) {
            log.often("a word of a stranger", p.sender() + ", not read");
            return;
        }
        byte[] bytes = p.data().getBytes();
        if (others.test(from, bytes)) {
            return;
        }
        if (time != null && !time.isKnown()) {
            return; // all that it says is dated
        }
        heard = true;
        loop.tell(new Event.GossipReceived(from, time == null ? bytes : Datagram.redated(bytes, -time.offset())));
    }

    /** Whether any other instance has spoken. */
    boolean heard() {
        return heard;
    }

    /** Who is asked first whether a datagram is for it, and then reads it. */
    void readFirst(BiPredicate<Integer, byte[]> others) {
        this.others = others;
    }

    /** Datagrams are dated by the servers' wall clock; while that is unknown, none goes out and none is read. */
    void datedBy(ServerClock time) {
        this.time = time;
    }

    void tell(Action.SendGossip a) {
        if (time == null || time.isKnown()) {
            send(a.peer(), time == null ? a.bytes() : Datagram.redated(a.bytes(), time.offset()));
        }
    }

    /** Guards against a word before it hears: that would bind the socket to any port, and it would stay deaf. */
    void send(int peer, byte[] bytes) {
        if (socket != null && peer >= 0 && peer < peers.size()) {
            InetSocketAddress to = peers.get(peer);
            socket.send(Buffer.buffer(bytes), to.getPort(), to.getAddress().getHostAddress())
                    .onFailure(e -> log.often("a word not sent", String.valueOf(e.getMessage())));
        }
    }

    void close() {
        closed = true;
        if (socket != null) {
            socket.close();
        }
    }
}
