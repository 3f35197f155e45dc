package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.EndpointList;
import ploverdale.settings.InvalidSettingsException;

/** Reading a gateway's configuration file: the values read, and the errors reported for an invalid file. */
class ConfigurationFileTest {
    private static final String VALID = """
            {"name":"n1","listen":"127.0.0.1:7000","discovery":"127.0.0.1:7001","seed":"ffffffffffffffff",
            "limits":{"sockets":256},"known":{"revision":3,"complete":true,"members":[
            {"id":"a","host_port":"127.0.0.1:7100","locality":"z2","cell":4,"phase":"SERVING","up_since_ms":12},
            {"id":"b","host_port":"db.example:7100","phase":"SERVING"},
            {"id":"c","phase":"DELETED"},{"host_port":"127.0.0.1:7102","phase":"SERVING"}]},
            "settings":{"zones":["z1","z2"],"profiles":[
            {"name":"page","aimMs":10,"deadlineMs":20,"effect":"repeatable"}]}}""";

    @TempDir
    private Path dir;

    private ConfigurationFile read(String text) throws IOException {
        return ConfigurationFile.read(Files.writeString(dir.resolve("c.json"), text));
    }

    @Test
    void endpointsWithoutValidAddressAreSkippedAndReported() throws IOException {
        ConfigurationFile configuration = read(VALID);
        assertThat(configuration.seed()).isEqualTo(-1);
        assertThat(configuration.known().entries()).hasSize(2);
        EndpointList.Entry first = configuration.known().entries().get(0);
        assertThat(first.address().getPort()).isEqualTo(7100);
        assertThat(first.endpoint().zone().number()).isEqualTo(1);
        assertThat(first.endpoint().startedAt()).isEqualTo(120);
        assertThat(configuration.known().entries().get(1).endpoint().state()).isEqualTo(EndpointState.GONE);
        assertThat(configuration.known().leftOut()).hasSize(2);
        assertThat(configuration.known().leftOut().get(0)).contains("b").contains("db.example");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"name\":\"n1\", | name", "\"listen\":\"127.0.0.1:7000\", | listen",
                        "\"seed\":\"ffffffffffffffff\", | seed",
                "\"limits\":{\"sockets\":256}, | limits", "\"sockets\":256 | sockets", "\"revision\":3, | revision",
                "\"discovery\":\"127.0.0.1:7001\", | discovery", ",\"deadlineMs\":20 | deadlineMs"
            })
    void missingFieldIsNamed(String removed, String field) {
        assertThatThrownBy(() -> read(VALID.replace(removed, "")))
                .isInstanceOf(InvalidSettingsException.class)
                .hasMessageContaining(field);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "127.0.0.1:7000 | localhost:7000 | listen",
                "127.0.0.1:7001 | 127.0.0.1 | discovery",
                "127.0.0.1:7000 | 127.0.0.300:7000 | listen",
                "ffffffffffffffff | none | seed",
                "256 | 3 | sockets",
                "256 | \"many\" | sockets",
                "\"n1\" | 7 | name",
                "\"aimMs\":10 | \"aimMs\":\"soon\" | aimMs"
            })
    void invalidFieldIsNamed(String valid, String invalid, String field) {
        assertThatThrownBy(() -> read(VALID.replace(valid, invalid)))
                .isInstanceOf(InvalidSettingsException.class)
                .hasMessageContaining(field);
    }

    @Test
    void missingOrMalformedFileIsReported() {
        assertThatThrownBy(() -> ConfigurationFile.read(dir.resolve("none.json")))
                .isInstanceOf(InvalidSettingsException.class)
                .hasMessageContaining("none.json");
        assertThatThrownBy(() -> read("{\"name\":"))
                .isInstanceOf(InvalidSettingsException.class)
                .hasMessageContaining("not JSON");
        assertThatThrownBy(() -> read("[1]"))
                .isInstanceOf(InvalidSettingsException.class)
                .hasMessageContaining("not a JSON object");
    }

    @Test
    void gossipAddressIsSetOnlyIfGossipIsAllowedAndThereAreOtherGateways() throws IOException {
        String twoGateways = VALID.replace(
                        "\"limits\"",
                        "\"peer_listen\":\"127.0.0.1:7200\",\"peers\":[\"127.0.0.1:7200\","
                                + "\"127.0.0.1:7201\"],\"limits\"")
                .replace("\"zones\"", "\"balancers\":2,\"zones\"");
        assertThat(read(twoGateways).peerListen()).isNull();
        String gossipAllowed = twoGateways.replace("\"zones\"", "\"policyLimits\":{\"peerMessages\":true},\"zones\"");
        assertThat(read(gossipAllowed).peerListen().getPort()).isEqualTo(7200);
        assertThat(read(gossipAllowed).peers())
                .extracting(java.net.InetSocketAddress::getPort)
                .containsExactly(7200, 7201);
        assertThat(read(gossipAllowed.replace(",\"127.0.0.1:7201\"", "").replace("\"balancers\":2", "\"balancers\":1"))
                        .peerListen())
                .isNull();
        assertThatThrownBy(() -> read(gossipAllowed.replace("\"balancers\":2", "\"balancers\":3")))
                .isInstanceOf(InvalidSettingsException.class)
                .hasMessageContaining("peers");
    }
}
