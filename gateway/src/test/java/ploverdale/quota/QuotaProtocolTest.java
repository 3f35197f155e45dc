package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ploverdale.membership.Packet;
import ploverdale.membership.PacketCodec;
import ploverdale.membership.PacketQueue;
import ploverdale.quota.QuotaProtocol.Mode;

/**
 * Tests the protocol among three gateways on a network without faults. Its behaviour under faults is tested by the
 * explorer and the fleet model of the tools module.
 */
class QuotaProtocolTest {
    private static final int GATEWAYS = 3;
    private static final int CAPACITY = 24;
    private static final int ENTITLEMENT = CAPACITY / GATEWAYS;
    private static final int GUARANTEED = ENTITLEMENT / 2;
    private static final long MAX_HOLD_TIME = 500;
    private static final long TICK_INTERVAL = 100;
    private static final LeaseDurations DURATIONS = new LeaseDurations(3_000, 2_000, 0.05);
    private static final long SETTLING_TIME = 4 * DURATIONS.partitionGrantorTerm();

    private final QuotaAllocation allocation = new QuotaAllocation(
            List.of(new SharedLimit("limit", SharedLimit.Kind.CONCURRENCY, CAPACITY, MAX_HOLD_TIME)), GATEWAYS, 0.5);
    private final List<QuotaProtocol> gateways = new ArrayList<>();
    private final boolean[] absent = new boolean[GATEWAYS];
    private long now = 10_000;

    QuotaProtocolTest() {
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            gateways.add(new QuotaProtocol(
                    gateway, epoch(gateway), allocation, DURATIONS, new SplittableRandom(gateway), now));
        }
    }

    private static long epoch(int gateway) {
        return 100 + gateway;
    }

    /**
     * Ticks the gateways that are present for a duration, and checks after each tick that the capacity is not
     * exceeded.
     */
    private void runFor(long duration) {
        for (long end = now + duration; now < end; now += TICK_INTERVAL) {
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                if (!absent[gateway]) {
                    PacketQueue out = new PacketQueue(1e9, now);
                    gateways.get(gateway).onTick(now, other -> !absent[other], out);
                    deliver(gateway, out);
                }
            }
            assertThat(totalUnits()).isLessThanOrEqualTo(CAPACITY);
        }
    }

    /** Delivers the queued messages and the replies to them. Messages to absent gateways are lost. */
    private void deliver(int sender, PacketQueue out) {
        for (PacketQueue.OutboundPacket packet : out.drain(now, 1, allocation.id())) {
            if (absent[packet.to()]) {
                continue;
            }
            PacketQueue answers = new PacketQueue(1e9, now);
            for (Packet.Part part : PacketCodec.decode(packet.bytes()).parts()) {
                gateways.get(packet.to()).onMessage(now, sender, epoch(sender), part, answers);
            }
            deliver(packet.to(), answers);
        }
    }

    private int unitsHeldBy(int gateway) {
        return gateways.get(gateway).heldUnits(now, 0);
    }

    private int totalUnits() {
        return IntStream.range(0, GATEWAYS)
                .filter(gateway -> !absent[gateway])
                .map(this::unitsHeldBy)
                .sum();
    }

    private int acquireAll(int gateway) {
        int acquired = 0;
        while (gateways.get(gateway).tryAcquire(now, 0)) {
            acquired++;
        }
        return acquired;
    }

    @Test
    void startsWithGuaranteedUnitsAndHoldsItsEntitlementAfterTheQuarantine() {
        runFor(DURATIONS.partitionGrantorTerm());
        assertThat(unitsHeldBy(0)).isEqualTo(GUARANTEED);
        assertThat(gateways.get(0).pollModeChange()).isEmpty();
        runFor(SETTLING_TIME);
        assertThat(unitsHeldBy(0)).isEqualTo(ENTITLEMENT);
        assertThat(gateways.get(0).pollModeChange()).contains(new QuotaProtocol.ModeChange(Mode.FULL_ENTITLEMENT, 0));
        assertThat(gateways.get(0).pollModeChange()).isEmpty();
    }

    @Test
    void fallsBackToGuaranteedUnitsWhenAMajorityOfAcceptorsIsAbsent() {
        runFor(SETTLING_TIME);
        gateways.get(0).pollModeChange();
        absent[1] = true;
        absent[2] = true;
        runFor(DURATIONS.partitionLease() + TICK_INTERVAL);
        assertThat(unitsHeldBy(0)).isEqualTo(GUARANTEED);
        assertThat(gateways.get(0).pollModeChange())
                .map(QuotaProtocol.ModeChange::mode)
                .contains(Mode.GUARANTEED_ONLY);
    }

    @Test
    void borrowsUnitsWhenTheDemandExceedsThoseHeldAndReturnsIdleOnes() {
        runFor(SETTLING_TIME);
        int acquired = 0;
        for (int second = 0; second < 5; second++) {
            acquired += acquireAll(0);
            runFor(10_000);
        }
        assertThat(acquired).isGreaterThan(ENTITLEMENT);
        assertThat(unitsHeldBy(0)).isGreaterThanOrEqualTo(acquired);
        for (int unit = 0; unit < acquired; unit++) {
            gateways.get(0).release(0);
        }
        runFor(100_000);
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            assertThat(unitsHeldBy(gateway)).isEqualTo(ENTITLEMENT);
        }
    }

    @Test
    void theSuccessorHoldsThePartitionOfAnAbsentGatewayUntilItIsBack() {
        runFor(SETTLING_TIME);
        absent[2] = true;
        runFor(2 * SETTLING_TIME);
        assertThat(totalUnits()).isEqualTo(CAPACITY - GUARANTEED);
        absent[2] = false;
        runFor(2 * SETTLING_TIME);
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            assertThat(unitsHeldBy(gateway)).isEqualTo(ENTITLEMENT);
        }
    }

    @Test
    void grantsToAnEarlierProcessOfTheGatewayAreIgnored() {
        QuotaProtocol gateway = gateways.get(0);
        PacketQueue out = new PacketQueue(1e9, now);
        gateway.onTick(now, other -> true, out);
        QuotaMessage.LeaseGrant stale = new QuotaMessage.LeaseGrant(0, 1, epoch(0) - 1);
        for (long end = now + SETTLING_TIME; now < end; now += TICK_INTERVAL) {
            gateway.onMessage(now, 1, epoch(1), QuotaMessageCodec.encode(stale), out);
            gateway.onMessage(now, 2, epoch(2), QuotaMessageCodec.encode(stale), out);
            assertThat(unitsHeldBy(0)).isLessThanOrEqualTo(GUARANTEED);
        }
    }
}
