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

/**
 * Exceptions for an invalid field: their message, and the source, field, found value and expected value that they name.
 */
class SettingsFaultTest {
    @TempDir
    private Path directory;

    private static InvalidSettingsException fault(ThrowingCallable read) {
        return catchThrowableOfType(InvalidSettingsException.class, read);
    }

    private InvalidSettingsException fleetFault(String text) throws IOException {
        Path file = Files.writeString(directory.resolve("fleet.json"), text);
        return fault(() -> FleetConfigurationFile.read(file));
    }

    @Test
    void missingFieldIsNamed() {
        InvalidSettingsException fault =
                fault(() -> JsonFields.parse("configuration", "{}").text("name"));
        assertThat(fault).hasMessage("configuration: field name is missing");
        assertThat(fault.source()).isEqualTo("configuration");
        assertThat(fault.field()).isEqualTo("name");
    }

    @Test
    void unknownFieldIsNamed() {
        JsonFields fields = JsonFields.parse("fleet file", "{\"tenant\":true}");
        InvalidSettingsException fault = fault(() -> fields.allowOnly(Set.of("tenants")));
        assertThat(fault).hasMessage("fleet file: unknown field tenant");
        assertThat(fault.field()).isEqualTo("tenant");
    }

    @Test
    void fieldOfWrongTypeIsNamedWithExpectedType() {
        JsonFields limits = JsonFields.parse("configuration", "{\"limits\":{\"sockets\":\"many\"}}")
                .object("limits");
        InvalidSettingsException fault = fault(() -> limits.integer("sockets"));
        assertThat(fault).hasMessage("configuration.limits: field sockets has the wrong type");
        assertThat(fault.source()).isEqualTo("configuration.limits");
        assertThat(fault.field()).isEqualTo("sockets");
        assertThat(fault.found()).isEqualTo("many");
        assertThat(fault.expected()).isEqualTo("a number");
    }

    @Test
    void numberOutOfRangeIsNamedWithRange() throws IOException {
        InvalidSettingsException fault = fleetFault("{\"tenants\":true,\"floor_share\":0.6}");
        assertThat(fault).hasMessage("fleet file: field floor_share is out of range: 0.6");
        assertThat(fault.source()).isEqualTo("fleet file");
        assertThat(fault.field()).isEqualTo("floor_share");
        assertThat(fault.found()).isEqualTo("0.6");
        assertThat(fault.expected()).isEqualTo("0.0 to 0.5");
    }

    @Test
    void faultOfWholeFileNamesNoField() throws IOException {
        InvalidSettingsException fault = fleetFault("[1]");
        assertThat(fault).hasMessage("fleet file is not a JSON object");
        assertThat(fault.field()).isNull();
    }
}
