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
import ploverdale.hearsay.Datagram;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.Event;

/**
 * Owns the one datagram socket to the other instances: tells the module what came and from whom, and sends what the
 * module says. Must never read or make a message, repeat one, answer one, or pass on one from an address that is not
 * among the instances'.
 */
final class PeerSide {
    private final Log log;
    private final LogicLoop loop;
    private final List<InetSocketAddress> peers;
    private final Map<String, Integer> numbers = new HashMap<>();
    private final DatagramSocket socket;
    private boolean listens;
    private boolean heard;
    private BiPredicate<Integer, byte[]> others = (from, bytes) -> false;
    private ServerClock time; // null: all read the same clock

    PeerSide(Vertx vertx, Log log, LogicLoop loop, List<InetSocketAddress> peers) {
        this.log = log;
        this.loop = loop;
        this.peers = peers;
        for (int i = 0; i < peers.size(); i++) {
            numbers.put(name(peers.get(i).getAddress().getHostAddress(), peers.get(i).getPort()), i);
        }
        socket = vertx.createDatagramSocket(new DatagramSocketOptions());
    }

    private static String name(String host, int port) {
        return host + ":" + port;
    }

    /** Done when it hears; a socket that cannot be had costs the words of others and nothing else. */
    Future<Void> listen(InetSocketAddress at) {
        return socket.listen(at.getPort(), at.getAddress().getHostAddress()).<Void>mapEmpty().onSuccess(x -> {
            listens = true;
            socket.handler(this::came);
            socket.exceptionHandler(e -> log.often("instances' socket", String.valueOf(e.getMessage())));
        }).otherwise(e -> {
            log.line("no words with other instances, nothing heard at " + at + ": " + e);
            return null;
        });
    }

    private void came(DatagramPacket p) {
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
        loop.tell(new Event.PeerMessage(from, time == null ? bytes : Datagram.redated(bytes, -time.offset())));
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

    void tell(Action.Tell a) {
        if (time == null || time.isKnown()) {
            send(a.peer(), time == null ? a.bytes() : Datagram.redated(a.bytes(), time.offset()));
        }
    }

    /** Guards against a word before it hears: that would bind the socket to any port, and it would stay deaf. */
    void send(int peer, byte[] bytes) {
        if (listens && peer >= 0 && peer < peers.size()) {
            InetSocketAddress to = peers.get(peer);
            socket.send(Buffer.buffer(bytes), to.getPort(), to.getAddress().getHostAddress())
                    .onFailure(e -> log.often("a word not sent", String.valueOf(e.getMessage())));
        }
    }

    void close() {
        socket.close();
    }
}
