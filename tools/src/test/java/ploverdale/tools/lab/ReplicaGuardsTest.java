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

/**
 * Checks that the runs with random faults can detect defects: with each safeguard of replication removed in turn,
 * they must report a stale read or a write that was executed twice.
 */
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
    void removedSafeguardIsDetected(String file, String safeguard, String replacement) throws Exception {
        try (MutationCheck mutated =
                MutationCheck.of(Launch.locate(List.of()), "replication/" + file, safeguard, replacement)) {
            Process p = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            mutated.classes() + File.pathSeparator + System.getProperty("java.class.path"),
                            "ploverdale.tools.Main",
                            "lab",
                            "replicas",
                            "--seed",
                            "1",
                            "--seeds",
                            "4")
                    .redirectErrorStream(true)
                    .start();
            String output = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            System.out.println(safeguard + " removed: " + output);
            assertThat(p.waitFor()).as(output).isEqualTo(1);
            assertThat(output).contains("promises broken, first");
        }
    }
}
