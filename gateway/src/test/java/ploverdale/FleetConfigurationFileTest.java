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

/** Reading the file that enables what gateways share: the values read, and the errors reported for an invalid file. */
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
    void entitlementsOfExampleFileAddUpToCapacityForAnyNumberOfGateways() {
        QuotaSettings quotaSettings = FleetConfigurationFile.read(Path.of("../deploy/fleet.json"));
        ConfigurationFile configuration = ConfigurationFile.read(Path.of("../example/gateway.json"));
        QuotaAllocation example =
                quotaSettings.allocation(configuration.settings().started());
        assertThat(example.limits()).hasSize(2 + 64 + 64 + 1 + 1);
        for (int gateways : new int[] {1, 2, 7, 64, 300}) {
            QuotaAllocation allocation = new QuotaAllocation(example.limits(), gateways, 0.5);
            for (int limit = 0; limit < example.limits().size(); limit++) {
                int sum = 0;
                for (int gateway = 0; gateway < gateways; gateway++) {
                    sum += allocation.entitlement(gateway, limit);
                    assertThat(allocation.guaranteedUnits(gateway, limit))
                            .isBetween(0, allocation.entitlement(gateway, limit) / 2);
                    assertThat(new QuotaAllocation(example.limits(), gateways + 1, 0.5).entitlement(gateway, limit))
                            .isLessThanOrEqualTo(allocation.entitlement(gateway, limit) + 1);
                }
                assertThat(sum).isEqualTo(example.limits().get(limit).capacity());
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"tenant\":true}|unknown field tenant",
                "{}|enables nothing",
                "{\"tenants\":true,\"floor_share\":0.6}|floor_share is out of range",
                "{\"sends_at_server\":-1}|sends_at_server is out of range",
                "{\"sends_at_server\":\"many\"}|sends_at_server has the wrong type",
                "{\"probes_per_second\":-1}|probes_per_second is out of range",
                "{\"cold_sends_at_server\":\"x\"}|cold_sends_at_server has the wrong type",
                "{\"second_sends_per_second\":70000}|second_sends_per_second is out of range",
                "{\"tenants\":true,\"loan_ms\":1}|loan_ms is out of range",
                "{\"tenants\":true,\"clocks_apart\":0}|clocks_apart is out of range",
                "{\"sessions\":{\"keep\":1}}|unknown field keep",
                "{\"sessions\":{\"keep_ms\":1}}|keep_ms is out of range",
                "{\"submits\":{\"window_ms\":1}}|window_ms is out of range",
                "{\"sessions\":{},\"copies\":6}|copies is out of range",
                "{\"sessions\":{},\"wait_ms\":151}|wait_ms is out of range",
                "{\"tenants\":true,\"copies\":3}|copies requires sessions or submits",
                "[1]|not a JSON object"
            })
    void invalidFieldIsNamed(String text, String message) {
        assertThatThrownBy(() -> read(text)).hasMessageContaining(message);
    }

    @Test
    void onlyWhatFileNamesIsReplicatedAndItsClassesMustExist() throws IOException {
        ConfigurationFile configuration = ConfigurationFile.read(Path.of("../example/gateway.json"));
        QuotaSettings replicated = FleetConfigurationFile.requireCompatible(
                FleetConfigurationFile.read(Path.of("../deploy/replicas.json")), configuration.settings());
        assertThat(replicated.replication().replicatesSessions()).isTrue();
        assertThat(replicated.replication().replicatesOutcomes()).isTrue();
        assertThat(replicated.allocation(configuration.settings().started()).limits())
                .isEmpty();
        assertThat(read("{\"tenants\":true}").replication()).isNull();
        assertThat(read("{\"sessions\":{}}").replication().replicatesOutcomes()).isFalse();
        QuotaSettings unknownClass = read("{\"sessions\":{},\"wait_for_copies\":[\"no such class\"]}");
        assertThatThrownBy(() -> FleetConfigurationFile.requireCompatible(unknownClass, configuration.settings()))
                .hasMessageContaining("names an unknown request class: no such class");
    }

    @Test
    void missingFileIsReported() {
        assertThatThrownBy(() -> FleetConfigurationFile.read(Path.of("no-such.json")))
                .hasMessageContaining("cannot be read");
    }
}
