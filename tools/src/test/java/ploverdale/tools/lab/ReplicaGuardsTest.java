package ploverdale.tools.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ploverdale.tools.fleet.GatewayProcess.Launch;
import ploverdale.tools.fleet.MutationCheck;

/** With each guard of what is kept taken out in turn, the days of faults break promises: the search can fail. */
class ReplicaGuardsTest {
    @ParameterizedTest
    @CsvSource(
            delimiterString = " -> ",
            value = {
                "ReplicaSet.java -> return size / 2 + 1; -> return 1;",
                "CompletenessBound.java -> Math.max(store.missingUntil(), Math.min(startedAt, unrestoredUntil)) -> store.missingUntil()",
                "LocalReplica.java -> !historyIsComplete || !isPermitted -> !isPermitted",
                "WriteOutcome.java -> isFreeExceptFor(claim) && hasCapacityFor(claim)"
                        + " -> (claims.containsKey(claim) || isFree())"
            })
    void withoutOnePromisesBreak(String file, String guard, String instead) throws Exception {
        try (MutationCheck none = MutationCheck.of(Launch.locate(List.of()), "replication/" + file, guard, instead)) {
            Process p = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            none.classes() + File.pathSeparator + System.getProperty("java.class.path"),
                            "ploverdale.tools.Main",
                            "lab",
                            "replicas",
                            "--seed",
                            "1",
                            "--seeds",
                            "4")
                    .redirectErrorStream(true)
                    .start();
            String told = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            System.out.println(guard + " out: " + told);
            assertThat(p.waitFor()).as(told).isEqualTo(1);
            assertThat(told).contains("promises broken, first");
        }
    }
}
