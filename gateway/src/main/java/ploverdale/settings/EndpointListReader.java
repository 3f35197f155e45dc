package ploverdale.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import ploverdale.model.Endpoint;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.GroupId;
import ploverdale.model.ServerId;
import ploverdale.model.ZoneId;

/**
 * Parses endpoint lists in the JSON format of the discovery agent. An invalid entry does not make the list invalid: it
 * is skipped, and the reason is kept.
 */
public final class EndpointListReader {
    private static final String SOURCE = "endpoint list";
    private static final List<String> REQUIRED_FIELDS = List.of("revision", "members");

    private EndpointListReader() {}

    /**
     * Parses a response of the agent.
     *
     * @throws InvalidSettingsException if it is not such a list
     */
    public static EndpointList parse(String text, GatewaySettings settings) {
        return read(JsonFields.parse("list", text), settings);
    }

    /**
     * Reads a list. Zones are numbered as in the settings; all zones that the settings do not name share the next
     * number.
     */
    static EndpointList read(JsonFields fields, GatewaySettings settings) {
        for (String field : REQUIRED_FIELDS) {
            if (!fields.has(field)) {
                throw InvalidSettingsException.missingField(SOURCE, field);
            }
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        List<String> leftOut = new ArrayList<>();
        for (Object member : fields.list("members")) {
            try {
                entries.add(entry(JsonFields.of("members", member), settings));
            } catch (InvalidSettingsException invalid) {
                leftOut.add(invalid.getMessage());
            }
        }
        return new EndpointList(fields.integer("revision"), fields.flag("complete"), entries, leftOut);
    }

    private static EndpointList.Entry entry(JsonFields fields, GatewaySettings settings) {
        String id = fields.text("id");
        EndpointState state = state(id, fields.text("phase"));
        String hostAndPort = fields.text("host_port", "");
        InetSocketAddress address = NumericAddress.parse(hostAndPort);
        if (address == null && state != EndpointState.GONE) {
            throw InvalidSettingsException.ofField(
                    id + ": field host_port is not an IP address with a port: " + hostAndPort,
                    id,
                    "host_port",
                    hostAndPort,
                    NumericAddress.EXPECTED_FORM);
        }
        int zone = settings.zones().indexOf(fields.text("locality", ""));
        Endpoint endpoint = new Endpoint(
                new ServerId(id),
                new GroupId((long) fields.number("cell", 0)),
                new ZoneId(zone < 0 ? settings.zones().size() : zone),
                state,
                fields.text("rank", "").equals("source"),
                JsonFields.tenthsRoundedUp(fields.number("up_since_ms", 0)));
        return new EndpointList.Entry(endpoint, address);
    }

    private static EndpointState state(String id, String phase) {
        return switch (phase) {
            case "DRAINING" -> EndpointState.DRAINING;
            case "DELETED" -> EndpointState.GONE;
            case "SERVING" -> EndpointState.IN;
            default ->
                throw InvalidSettingsException.ofField(
                        id + ": field phase has an unknown value: " + phase, id, "phase", phase, "SERVING, DRAINING or DELETED");
        };
    }
}
