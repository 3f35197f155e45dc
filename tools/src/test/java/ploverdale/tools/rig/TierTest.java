package ploverdale.tools.rig;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Gossip among hundreds of gateways in simulated time, for one seed. */
class TierTest {
    @Test
    void gossipReachesNearlyAllGatewaysAtBoundedCostAndMemory() {
        System.out.println("tier, seed 5");
        assertThat(Tier.play(5, 1, 1)).hasSize(6).allMatch(Check::holds);
    }
}
