package ploverdale.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A fault of one field names source, field, what was found and what is wanted, and has the message of old. */
class SettingsFaultTest {
    @TempDir
    private Path directory;

    private static InvalidSettingsException fault(ThrowingCallable reading) {
        return catchThrowableOfType(InvalidSettingsException.class, reading);
    }

    private InvalidSettingsException fleetFault(String text) throws IOException {
        Path file = Files.writeString(directory.resolve("fleet.json"), text);
        return fault(() -> FleetConfigurationFile.read(file));
    }

    @Test
    void aMissingFieldIsNamed() {
        InvalidSettingsException fault =
                fault(() -> JsonFields.parse("configuration", "{}").text("name"));
        assertThat(fault).hasMessage("configuration without field name");
        assertThat(fault.source()).isEqualTo("configuration");
        assertThat(fault.field()).isEqualTo("name");
    }

    @Test
    void anUnknownFieldIsNamed() {
        JsonFields fields = JsonFields.parse("fleet file", "{\"tenant\":true}");
        InvalidSettingsException fault = fault(() -> fields.allowOnly(Set.of("tenants")));
        assertThat(fault).hasMessage("fleet file with an unknown field tenant");
        assertThat(fault.field()).isEqualTo("tenant");
    }

    @Test
    void aValueOfAnotherTypeIsNamedWithTheTypeThatIsWanted() {
        JsonFields limits = JsonFields.parse("configuration", "{\"limits\":{\"sockets\":\"many\"}}")
                .object("limits");
        InvalidSettingsException fault = fault(() -> limits.integer("sockets"));
        assertThat(fault).hasMessage("configuration.limits with a field sockets of the wrong form");
        assertThat(fault.source()).isEqualTo("configuration.limits");
        assertThat(fault.field()).isEqualTo("sockets");
        assertThat(fault.found()).isEqualTo("many");
        assertThat(fault.wanted()).isEqualTo("a number");
    }

    @Test
    void aNumberOutOfRangeIsNamedWithTheRange() throws IOException {
        InvalidSettingsException fault = fleetFault("{\"tenants\":true,\"floor_share\":0.6}");
        assertThat(fault).hasMessage("fleet file with a field floor_share out of range: 0.6");
        assertThat(fault.source()).isEqualTo("fleet file");
        assertThat(fault.field()).isEqualTo("floor_share");
        assertThat(fault.found()).isEqualTo("0.6");
        assertThat(fault.wanted()).isEqualTo("0.0 to 0.5");
    }

    @Test
    void aFaultOfTheWholeFileNamesNoField() throws IOException {
        InvalidSettingsException fault = fleetFault("[1]");
        assertThat(fault).hasMessage("fleet file is not a JSON object");
        assertThat(fault.field()).isNull();
    }
}
