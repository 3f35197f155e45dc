package ploverdale.benchlink;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import ploverdale.membership.PacketQueue.OutboundPacket;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.Event.Started;
import ploverdale.quota.QuotaNode;
import ploverdale.quota.QuotaSettings;
import ploverdale.routing.Router;
import ploverdale.settings.InvalidSettingsException;
import ploverdale.settings.JsonFields;

/**
 * One gateway of the simulation: its router, its part of the shared quota if one is shared, and the reader that decodes
 * its events. Actions are written in the order in which they were decided. Not thread-safe. Times are tenths of a
 * millisecond.
 */
final class SimulatedGateway {
    private static final long QUOTA_TIMER_MARK = 1; // the router's own timers have mark 0
    private static final long TENTHS_PER_MS = 10;

    private final Router router;
    private final WireEventReader reader;
    private final QuotaNode quotaNode;

    /** @param quotaNode null if no quota is shared */
    private SimulatedGateway(Router router, WireEventReader reader, QuotaNode quotaNode) {
        this.router = router;
        this.reader = reader;
        this.quotaNode = quotaNode;
    }

    /**
     * Creates a gateway from the wire event that starts it. The quota is shared only if the gateway's settings allow
     * messages between gateways and there are at least two gateways.
     *
     * @param quotaSettings null if no quota is shared
     * @param clock the simulated time
     * @throws InvalidSettingsException if the quota settings enable replication, which is not simulated
     */
    static SimulatedGateway create(JsonFields boot, QuotaSettings quotaSettings, LongSupplier clock) {
        WireEventReader reader = new WireEventReader(boot);
        Started started = reader.started();
        if (quotaSettings != null && quotaSettings.replication() != null) {
            throw new InvalidSettingsException(
                    "fleet file: fields sessions and submits are not supported by the simulation");
        }
        boolean sharesQuota = quotaSettings != null && started.capabilities().peerMessagesAllowed() && started.gateways() >= 2;
        if (!sharesQuota) {
            return new SimulatedGateway(new Router(null), reader, null);
        }
        long startedMs = 1 + clock.getAsLong() / TENTHS_PER_MS; // 0 would mean that the gateway has not started
        QuotaNode quotaNode = new QuotaNode(quotaSettings, started, startedMs, clock, clock);
        return new SimulatedGateway(new Router(quotaNode.quota()), reader, quotaNode);
    }

    WireEventReader reader() {
        return reader;
    }

    /** Starts the router, then the periodic work of the shared quota. */
    void start(long now, WireActionWriter writer) throws IOException {
        onEvent(now, reader.started(), writer);
        if (quotaNode != null) {
            onQuotaTick(now, writer);
        }
    }

    /** Called when a timer fires that was set with this mark. */
    void onTimer(long now, long mark, WireActionWriter writer) throws IOException {
        if (quotaNode != null && mark == QUOTA_TIMER_MARK) {
            onQuotaTick(now, writer);
        } else {
            onEvent(now, new Event.TimerFired(mark), writer);
        }
    }

    /**
     * Called when a datagram of another gateway is received: a packet of the shared quota, or else gossip for the
     * router.
     */
    void onDatagram(long now, int from, byte[] datagram, WireActionWriter writer) throws IOException {
        if (quotaNode != null) {
            Optional<List<OutboundPacket>> replies = quotaNode.onDatagram(from, datagram);
            writePackets(replies.orElse(List.of()), writer);
            if (replies.isPresent()) {
                return;
            }
        }
        onEvent(now, new Event.GossipReceived(from, datagram), writer);
    }

    /**
     * Passes an event to the router and writes the actions that it decides on. An exception of the router is reported
     * to the simulator.
     */
    void onEvent(long now, Event event, WireActionWriter writer) throws IOException {
        List<Action> actions;
        try {
            actions = router.on(now, event);
        } catch (RuntimeException fault) {
            // broad catch: any exception is reported as a fault of this gateway; the other gateways continue
            StackTraceElement[] trace = fault.getStackTrace();
            writer.writeFault(fault + (trace.length > 0 ? " at " + trace[0] : ""));
            return;
        }
        for (Action action : actions) {
            writer.write(action);
        }
    }

    private void onQuotaTick(long now, WireActionWriter writer) throws IOException {
        writePackets(quotaNode.onTick(), writer);
        writer.write(new Action.SetTimer(now + QuotaNode.TICK_INTERVAL, QUOTA_TIMER_MARK));
    }

    private void writePackets(List<OutboundPacket> packets, WireActionWriter writer) throws IOException {
        for (OutboundPacket packet : packets) {
            writer.write(new Action.SendGossip(packet.to(), packet.bytes()));
        }
        for (String line : quotaNode.drainLogLines()) {
            writer.write(new Action.LogLine(line));
        }
    }
}
