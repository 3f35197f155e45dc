package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ploverdale.quota.QuotaAllocation;
import ploverdale.quota.QuotaSettings;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.FleetConfigurationFile;

/** The file that switches the fleet's parts on. */
class FleetConfigurationFileTest {
    private static QuotaSettings read(String text) throws IOException {
        Path file = Files.createTempFile("fleet", ".json");
        try {
            return FleetConfigurationFile.read(Files.writeString(file, text));
        } finally {
            Files.delete(file);
        }
    }

    @Test
    void theExampleIsReadAndRightsAddUpToTheWhole() {
        QuotaSettings f = FleetConfigurationFile.read(Path.of("../deploy/fleet.json"));
        ConfigurationFile g = ConfigurationFile.read(Path.of("../example/gateway.json"));
        QuotaAllocation d = f.allocation(g.settings().started());
        assertThat(d.limits()).hasSize(2 + 64 + 64 + 1 + 1);
        for (int n : new int[] {1, 2, 7, 64, 300}) {
            QuotaAllocation of = new QuotaAllocation(d.limits(), n, 0.5);
            for (int b = 0; b < d.limits().size(); b++) {
                int sum = 0;
                for (int i = 0; i < n; i++) {
                    sum += of.entitlement(i, b);
                    assertThat(of.guaranteedUnits(i, b)).isBetween(0, of.entitlement(i, b) / 2);
                    assertThat(new QuotaAllocation(d.limits(), n + 1, 0.5).entitlement(i, b))
                            .isLessThanOrEqualTo(of.entitlement(i, b) + 1);
                }
                assertThat(sum).isEqualTo(d.limits().get(b).capacity());
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"tenant\":true}|unknown field tenant",
                "{}|nothing to divide",
                "{\"tenants\":true,\"floor_share\":0.6}|floor_share out of range",
                "{\"sends_at_server\":-1}|sends_at_server out of range",
                "{\"sends_at_server\":\"many\"}|sends_at_server of the wrong form",
                "{\"probes_per_second\":-1}|probes_per_second out of range",
                "{\"cold_sends_at_server\":\"x\"}|cold_sends_at_server of the wrong form",
                "{\"second_sends_per_second\":70000}|second_sends_per_second out of range",
                "{\"tenants\":true,\"loan_ms\":1}|loan_ms out of range",
                "{\"tenants\":true,\"clocks_apart\":0}|clocks_apart out of range",
                "{\"sessions\":{\"keep\":1}}|unknown field keep",
                "{\"sessions\":{\"keep_ms\":1}}|keep_ms out of range",
                "{\"submits\":{\"window_ms\":1}}|window_ms out of range",
                "{\"sessions\":{},\"copies\":6}|copies out of range",
                "{\"sessions\":{},\"wait_ms\":151}|wait_ms out of range",
                "{\"tenants\":true,\"copies\":3}|copies and neither sessions nor submits",
                "[1]|not a JSON object"
            })
    void mistakesAreNamedByTheirField(String text, String says) {
        assertThatThrownBy(() -> read(text)).hasMessageContaining(says);
    }

    @Test
    void whatIsKeptIsOnlyWhatTheFileNamesAndHasToFitWhatTheGatewayIsTold() throws IOException {
        ConfigurationFile g = ConfigurationFile.read(Path.of("../example/gateway.json"));
        QuotaSettings all = FleetConfigurationFile.fits(
                FleetConfigurationFile.read(Path.of("../deploy/replicas.json")), g.settings());
        assertThat(all.replication().replicatesSessions()).isTrue();
        assertThat(all.replication().replicatesOutcomes()).isTrue();
        assertThat(all.allocation(g.settings().started()).limits()).isEmpty();
        assertThat(read("{\"tenants\":true}").replication()).isNull();
        assertThat(read("{\"sessions\":{}}").replication().replicatesOutcomes()).isFalse();
        QuotaSettings wrong = read("{\"sessions\":{},\"wait_for_copies\":[\"no such op type\"]}");
        assertThatThrownBy(() -> FleetConfigurationFile.fits(wrong, g.settings()))
                .hasMessageContaining("names no op type: no such op type");
    }

    @Test
    void noFileStandsForAnother() {
        assertThatThrownBy(() -> FleetConfigurationFile.read(Path.of("no-such.json")))
                .hasMessageContaining("cannot be read");
    }
}
