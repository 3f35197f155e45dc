package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ploverdale.routing.SlowStartFleet.Result;

/**
 * Tests that all routers of a fleet together keep within the budget of each recovering server and still use it. Prints
 * a row for each run. {@code -Dslowstart.seeds=N} runs N seeds instead of one.
 */
class SlowStartFleetTest {
    private static final List<SlowStartDeployment> DEPLOYMENTS = List.of(
            new SlowStartDeployment("large", 0.21, 16_000, 2.5, 1000, 5, 55),
            new SlowStartDeployment("small", 0.15, 13_000, 2, 1500, 1, 12));
    private static final int SEEDS = Integer.getInteger("slowstart.seeds", 1);

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 6, 30, 100})
    void theFleetKeepsTheBudgetOfEachRecoveringServerAndStillUsesIt(int gateways) {
        List<String> overloaded = new ArrayList<>();
        SoftAssertions minimums = new SoftAssertions();
        for (SlowStartScenario scenario : SlowStartScenario.values()) {
            List<Result> results = new ArrayList<>();
            for (SlowStartDeployment deployment : DEPLOYMENTS) {
                for (int run = 0; run < 2 * SEEDS; run++) {
                    boolean gossip = run % 2 == 0;
                    long seed = 1 + run / 2;
                    Result result = SlowStartFleet.run(gateways, scenario, gossip, deployment, seed);
                    results.add(result);
                    String row = row(gateways, scenario, deployment, gossip, seed, result);
                    System.out.println(row);
                    if (result.maxLoad() > 1) {
                        overloaded.add(row);
                    }
                }
            }
            minimums.assertThat(results.stream()
                            .mapToDouble(Result::served)
                            .average()
                            .orElseThrow())
                    .as("mean fraction of requests answered in time, %s", scenario)
                    .isGreaterThan(scenario.minServed);
            minimums.assertThat(results.stream()
                            .mapToDouble(Result::usedCapacity)
                            .average()
                            .orElseThrow())
                    .as("mean fraction of the recovering servers' capacity that was used, %s", scenario)
                    .isGreaterThan(scenario.minUsedCapacity);
        }
        assertThat(overloaded)
                .as("runs in which a recovering server got more than its budget")
                .isEmpty();
        minimums.assertAll();
    }

    private static String row(
            int gateways,
            SlowStartScenario scenario,
            SlowStartDeployment deployment,
            boolean gossip,
            long seed,
            Result result) {
        return String.format(
                "%3d gateways  %-26s %-6s gossip %-5s seed %d  max load %.2f  served %.3f  used capacity %.3f",
                gateways,
                scenario,
                deployment.name(),
                gossip,
                seed,
                result.maxLoad(),
                result.served(),
                result.usedCapacity());
    }
}
