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
 * One gateway of the simulation: its router, its part in the shared quota where that is on, and the reader that knows its
 * settings. Has its actions written in the order in which they were decided. Used on one thread; times are tenths of a
 * millisecond.
 */
final class SimulatedGateway {
    private static final long QUOTA_TIMER_MARK = 1; // the router's own timers have mark 0
    private static final long TENTHS_PER_MS = 10;

    private final Router router;
    private final Reader reader;
    private final QuotaNode quotaNode;

    /** @param quotaNode null where no quota is shared */
    private SimulatedGateway(Router router, Reader reader, QuotaNode quotaNode) {
        this.router = router;
        this.reader = reader;
        this.quotaNode = quotaNode;
    }

    /**
     * A gateway as the event of its start describes it.
     *
     * @param quotaSettings null where no quota is shared
     * @param clock simulated time
     */
    static SimulatedGateway create(JsonFields boot, QuotaSettings quotaSettings, LongSupplier clock) {
        Reader reader = new Reader(boot);
        Started started = reader.started();
        if (quotaSettings != null && quotaSettings.replication() != null) {
            throw new InvalidSettingsException(
                    "fleet file with a field sessions or submits, which are kept on sockets only");
        }
        boolean sharesQuota =
                quotaSettings != null && started.capabilities().peerMessagesAllowed() && started.gateways() >= 2;
        if (!sharesQuota) {
            return new SimulatedGateway(new Router(null), reader, null);
        }
        long startedMs = 1 + clock.getAsLong() / TENTHS_PER_MS; // 0 stands for no start
        QuotaNode quotaNode = new QuotaNode(quotaSettings, started, startedMs, clock, clock);
        return new SimulatedGateway(new Router(quotaNode.quota()), reader, quotaNode);
    }

    Reader reader() {
        return reader;
    }

    /** Starts the router, then the periodic work of the shared quota. */
    void start(long now, Writer writer) throws IOException {
        onEvent(now, reader.started(), writer);
        if (quotaNode != null) {
            onQuotaTick(now, writer);
        }
    }

    /** A timer has fired that was set with this mark. */
    void onTimer(long now, long mark, Writer writer) throws IOException {
        if (quotaNode != null && mark == QUOTA_TIMER_MARK) {
            onQuotaTick(now, writer);
        } else {
            onEvent(now, new Event.TimerFired(mark), writer);
        }
    }

    /** A datagram of another gateway has arrived: a packet of the shared quota, or else gossip for the router. */
    void onDatagram(long now, int from, byte[] datagram, Writer writer) throws IOException {
        if (quotaNode != null) {
            Optional<List<OutboundPacket>> replies = quotaNode.onDatagram(from, datagram);
            writePackets(replies.orElse(List.of()), writer);
            if (replies.isPresent()) {
                return;
            }
        }
        onEvent(now, new Event.GossipReceived(from, datagram), writer);
    }

    /** Has the router decide, and its actions written. */
    void onEvent(long now, Event event, Writer writer) throws IOException {
        List<Action> actions;
        try {
            actions = router.on(now, event);
        } catch (RuntimeException fault) {
            // broad catch: whatever it is, the simulator ascribes it to this gateway, others go on
            StackTraceElement[] trace = fault.getStackTrace();
            writer.broken(fault + (trace.length > 0 ? " at " + trace[0] : ""));
            return;
        }
        for (Action action : actions) {
            writer.write(action);
        }
    }

    private void onQuotaTick(long now, Writer writer) throws IOException {
        writePackets(quotaNode.onTick(), writer);
        writer.write(new Action.SetTimer(now + QuotaNode.TICK_INTERVAL, QUOTA_TIMER_MARK));
    }

    private void writePackets(List<OutboundPacket> packets, Writer writer) throws IOException {
        for (OutboundPacket packet : packets) {
            writer.write(new Action.SendGossip(packet.to(), packet.bytes()));
        }
        for (String line : quotaNode.drainLogLines()) {
            writer.write(new Action.LogLine(line));
        }
    }
}
