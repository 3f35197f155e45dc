package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.membership.PacketQueue.OutboundPacket;
import ploverdale.model.Capabilities;
import ploverdale.model.Event;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.ServerId;
import ploverdale.model.Tenant;

/** Tests the exact log lines of two nodes, because tools of operators match them. */
class QuotaNodeLogTest {
    private static final long SECOND = 10_000;
    private static final ServerId SERVER = new ServerId("s");

    private long now = SECOND;
    private boolean connected = true;
    private final List<QuotaNode> nodes = List.of(node(0, settings(10)), node(1, settings(10)));

    private static QuotaSettings settings(int retries) {
        return new QuotaSettings(
                new SharedLimitSettings(true, 20, 0, 1, retries, 0),
                0.5,
                new LeaseDurations(3 * SECOND, 2 * SECOND, 0.05),
                2000,
                null);
    }

    private QuotaNode node(int self, QuotaSettings settings) {
        Event.Started configuration = new Event.Started(
                7,
                2,
                List.of(),
                List.of(new Tenant(10)),
                0.1,
                new ServerGuarantees(0.2, 0, 2.5, 0, true, 0),
                new Capabilities(6, true, true, true, SECOND, true),
                new ReplicaGuarantees(ReplicaGuarantees.StalenessCheck.NONE, 500, false),
                false,
                self);
        return new QuotaNode(settings, configuration, 1, () -> now, () -> now);
    }

    /** Ticks both nodes at the regular interval for a duration. */
    private void runFor(long duration) {
        for (long end = now + duration; now < end; now += QuotaNode.TICK_INTERVAL) {
            for (int sender = 0; sender < nodes.size(); sender++) {
                deliver(sender, nodes.get(sender).onTick());
            }
        }
    }

    /** Delivers packets and the packets sent in reply, unless the nodes are disconnected. */
    private void deliver(int sender, List<OutboundPacket> packets) {
        for (OutboundPacket packet : packets) {
            if (connected) {
                QuotaNode receiver = nodes.get(packet.to());
                deliver(packet.to(), receiver.onDatagram(sender, packet.bytes()).orElseThrow());
            }
        }
    }

    @Test
    void logsTheStartAndChangesOfModeAndMembership() {
        QuotaNode node = nodes.get(0);
        List<String> lines = new ArrayList<>(node.drainLogLines());
        runFor(10 * SECOND);
        lines.addAll(node.drainLogLines());
        assertThat(lines)
                .containsExactly(
                        "budgets: 3 divided among 2 gateways, division d34334, on its floor until others have promised more",
                        "fleet: n1 alive, 2 of 2 present",
                        "budgets: has its whole share of 3 budgets");
        connected = false;
        runFor(10 * SECOND);
        assertThat(node.drainLogLines())
                .containsExactly("fleet: n1 suspected, 2 of 2 present", "fleet: n1 gone, 1 of 2 present");
    }

    @Test
    void logsThatAPeerIsShuttingDown() {
        runFor(SECOND);
        nodes.get(0).drainLogLines();
        nodes.get(1).leave();
        runFor(SECOND);
        assertThat(nodes.get(0).drainLogLines()).containsExactly("fleet: n1 leaving, 1 of 2 present");
    }

    @Test
    void logsUnreadablePacketsAndPacketsOfAnotherAllocation() {
        QuotaNode node = nodes.get(0);
        node.drainLogLines();
        assertThat(node.onDatagram(1, new byte[] {(byte) 0xB2, 1})).contains(List.of());
        assertThat(node.drainLogLines()).containsExactly("parcels of the fleet not read: of n1, 2 bytes");
        QuotaNode nodeWithOtherSettings = node(1, settings(20));
        now += SECOND;
        nodeWithOtherSettings.onTick().forEach(packet -> node.onDatagram(1, packet.bytes()));
        assertThat(node.drainLogLines()).contains("another division: n1 goes by e0fe27d5");
    }

    @Test
    void statisticsLineListsUnitsDemandAndTraffic() {
        runFor(10 * SECOND);
        while (nodes.get(0).quota().tryAcquireAttempt(SERVER, false)) {
            now++;
        }
        runFor(SECOND / 4);
        assertThat(nodes.get(0).statisticsLine())
                .isEqualTo(
                        "budgets: holds 24 parts, 4 borrowed, 0 lent, 9 asked for, 10 in use, 1 refused since the start, "
                                + "1090 bytes sent, 0 parcels dropped, 2 of 2 present");
        assertThat(nodes.get(1).statisticsLine())
                .isEqualTo(
                        "budgets: holds 16 parts, 0 borrowed, 4 lent, 0 asked for, 0 in use, 0 refused since the start, "
                                + "1104 bytes sent, 0 parcels dropped, 2 of 2 present");
    }
}
