package ploverdale.net;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.ObjLongConsumer;
import ploverdale.clock.ServerClock;
import ploverdale.log.Log;
import ploverdale.membership.PacketQueue;
import ploverdale.model.Event.Started;
import ploverdale.quota.QuotaNode;
import ploverdale.quota.QuotaSettings;

/**
 * Owns the clock and the ways of what the fleet agrees on: hands parcels in and out, and looks round. Must never decide who
 * is alive or who gets which part, and must look at a clock that never steps.
 */
final class MembershipTransport {
    /** Sends bytes to another gateway. */
    interface Out {
        void send(int to, byte[] bytes);
    }

    private static final long LINE_MS = 60_000;

    private final Log log;
    private final Out out;
    private final QuotaNode shared;
    private Runnable heard = () -> {};

    MembershipTransport(Vertx vertx, Log log, QuotaSettings quotaSettings, Started told, Out out, ServerClock time) {
        this.log = log;
        this.out = out;
        shared = new QuotaNode(
                quotaSettings, told, time.clock().wallMs(), () -> time.clock().nanos() / 100_000, time::wallNow);
        vertx.setPeriodic(QuotaNode.LOOK / 10, x -> sends(shared.due()));
        vertx.setPeriodic(LINE_MS, x -> log.line(shared.figures()));
        lines();
    }

    /** What the module may spend. */
    QuotaNode shared() {
        return shared;
    }

    private void sends(List<PacketQueue.OutboundPacket> letters) {
        letters.forEach(l -> out.send(l.to(), l.bytes()));
        lines();
        heard.run();
    }

    /** Hears whenever something may have come of what is kept. */
    void whenHeard(Runnable heard) {
        this.heard = heard;
    }

    /** Has something asked or told by what is kept, and sends what that brings. */
    void keeps(ObjLongConsumer<PacketQueue> what) {
        shared.keeps(what).forEach(l -> out.send(l.to(), l.bytes()));
        lines();
    }

    private void lines() {
        for (String line : shared.lines()) {
            int colon = line.indexOf(": ");
            if (line.startsWith("budgets") || line.startsWith("replicas")) {
                log.line(line);
            } else {
                log.often(line.substring(0, colon), line.substring(colon + 2));
            }
        }
    }

    /** Whether this datagram is the fleet's; it has been read if it is. */
    boolean hears(int from, byte[] bytes) {
        List<PacketQueue.OutboundPacket> answers = shared.hears(from, bytes);
        if (answers != null) {
            sends(answers);
        }
        return answers != null;
    }

    /** This gateway leaves. */
    void leaves() {
        shared.leaves();
    }
}
