package ploverdale.net.peer;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.function.ObjLongConsumer;
import ploverdale.clock.ServerClock;
import ploverdale.log.Log;
import ploverdale.membership.PacketQueue;
import ploverdale.model.Event.Started;
import ploverdale.quota.QuotaNode;
import ploverdale.quota.QuotaSettings;

/**
 * Connects a {@link QuotaNode} to the event loop: supplies the clock and the periodic tick, passes it the datagrams of
 * its protocols, sends the packets that it returns, and writes its log lines. Decides neither which members are alive
 * nor which gateway holds which quota.
 *
 * <p>Used on the event loop only.
 */
public final class MembershipTransport implements PeerCoordination {
    /** Sends a datagram to another gateway. */
    public interface DatagramSender {
        /** @param to the number of the receiving gateway */
        void send(int to, byte[] datagram);
    }

    private static final long TICKS_PER_MS = 10;
    private static final long NANOS_PER_TENTH_MS = 100_000;
    private static final long STATISTICS_INTERVAL_MS = 60_000;

    private final Log log;
    private final DatagramSender sender;
    private final QuotaNode node;
    private Runnable receiveListener = () -> {};

    public MembershipTransport(
            Vertx vertx,
            Log log,
            QuotaSettings quotaSettings,
            Started started,
            DatagramSender sender,
            ServerClock clock) {
        this.log = log;
        this.sender = sender;
        node = new QuotaNode(
                quotaSettings,
                started,
                clock.clock().wallMs(),
                () -> clock.clock().nanos() / NANOS_PER_TENTH_MS,
                clock::wallNow);
        vertx.setPeriodic(QuotaNode.TICK_INTERVAL / TICKS_PER_MS, x -> onPackets(node.onTick()));
        vertx.setPeriodic(STATISTICS_INTERVAL_MS, x -> log.line(node.statisticsLine()));
        writeLogLines();
    }

    /** Returns the node, which holds the quota of this gateway and the replicated entries. */
    public QuotaNode node() {
        return node;
    }

    /**
     * Sets a listener that runs after each datagram and each tick, either of which may complete requests to the
     * replicas.
     */
    public void setReceiveListener(Runnable listener) {
        receiveListener = listener;
    }

    /** Runs an action that queues packets for other gateways, and sends these packets. */
    public void exchange(ObjLongConsumer<PacketQueue> action) {
        send(node.runAndDrain(action));
        writeLogLines();
    }

    @Override
    public boolean receive(int from, byte[] datagram) {
        Optional<List<PacketQueue.OutboundPacket>> replies = node.onDatagram(from, datagram);
        replies.ifPresent(this::onPackets);
        return replies.isPresent();
    }

    @Override
    public void leave() {
        node.leave();
    }

    private void onPackets(List<PacketQueue.OutboundPacket> packets) {
        send(packets);
        writeLogLines();
        receiveListener.run();
    }

    private void send(List<PacketQueue.OutboundPacket> packets) {
        packets.forEach(packet -> sender.send(packet.to(), packet.bytes()));
    }

    private void writeLogLines() {
        for (String line : node.drainLogLines()) {
            if (line.startsWith("budgets") || line.startsWith("replicas")) {
                log.line(line);
                continue;
            }
            int colon = line.indexOf(": ");
            log.rateLimited(line.substring(0, colon), line.substring(colon + 2));
        }
    }
}
