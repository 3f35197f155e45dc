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
 * Drives a {@link QuotaNode}: gives it a monotonic clock and a periodic tick, hands it the datagrams that are its own,
 * sends the packets that it returns, and logs its lines. Decides neither who is alive nor who holds which quota.
 *
 * <p>Used on the event loop only.
 */
public final class MembershipTransport implements PeerCoordination {
    /** Sends a datagram to another gateway. */
    public interface DatagramSender {
        /** @param to the receiver's number */
        void send(int to, byte[] datagram);
    }

    private static final long TENTHS_PER_MS = 10;
    private static final long NANOS_PER_TENTH_MS = 100_000;
    private static final long FIGURES_INTERVAL_MS = 60_000;

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
        vertx.setPeriodic(QuotaNode.TICK_INTERVAL / TENTHS_PER_MS, x -> onPackets(node.onTick()));
        vertx.setPeriodic(FIGURES_INTERVAL_MS, x -> log.line(node.statisticsLine()));
        writeLogLines();
    }

    /** The quota that the router may spend, and the replicas. */
    public QuotaNode node() {
        return node;
    }

    /** Sets what is run after each datagram and each tick: requests to the replicas may have ended by then. */
    public void whenReceived(Runnable listener) {
        receiveListener = listener;
    }

    /** Runs something that asks or informs the replicas, and sends the packets that it queues. */
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
