package ploverdale.tools.lab;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.tools.lab.BoundedClaimModel.Result;

/** Explores all executions of one write that is submitted twice among three gateways. */
class BoundedClaimModelTest {
    @Test
    void noExecutionGrantsTheWriteTwice() {
        Result result = BoundedClaimModel.explore(0);
        System.out.println(result);
        assertThat(result.firstViolation()).isNull();
        assertThat(result.states()).isGreaterThan(1000);
    }

    @Test
    void findsAViolationIfARestartedReplicaClaimsACompleteHistory() {
        assertThat(BoundedClaimModel.explore(100_000).firstViolation()).contains("restart");
    }
}
