package ploverdale.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ploverdale.model.Endpoint;
import ploverdale.model.Event;
import ploverdale.model.RequestId;
import ploverdale.quota.QuotaSettings;
import ploverdale.settings.InvalidSettingsException;
import ploverdale.settings.JsonFields;

/**
 * Connects simulated gateways to the simulator. Each line of input is a JSON object with a batch of events at one point
 * in simulated time; each line of output is the reply with the actions that the gateways take. The gateways share only
 * the endpoint lists, to which the wire assigns numbers.
 *
 * <p>Not thread-safe. Times are tenths of a millisecond.
 */
public final class BenchLink {
    private static final int BUFFER_BYTES = 1 << 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final JsonFactory json = JsonFactory.builder().build();
    private final QuotaSettings quotaSettings;
    private final Map<Long, List<Endpoint>> endpointListsByNumber = new HashMap<>();
    private final Map<String, SimulatedGateway> gatewaysByName = new HashMap<>();
    private final Set<String> stoppedGateways = new HashSet<>();
    private long now; // simulated time of the current batch

    /**
     * @param quotaSettings the quota that the gateways share if their settings allow messages between gateways; null if
     *     no quota is shared
     */
    public BenchLink(InputStream in, OutputStream out, QuotaSettings quotaSettings) {
        this.quotaSettings = quotaSettings;
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_BYTES);
        this.out = new BufferedOutputStream(out, BUFFER_BYTES);
    }

    /**
     * Reads batches and replies to them until the input ends.
     *
     * @throws InvalidSettingsException if a batch is malformed
     */
    public void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (!line.isBlank()) {
                replyTo(line);
            }
        }
    }

    private void replyTo(String line) throws IOException {
        JsonFields batch = parseBatch(line);
        now = JsonFields.tenthsRoundedUp(batch.number("timeMs"));
        JsonGenerator reply = json.createGenerator(out);
        reply.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        reply.writeStartObject();
        reply.writeArrayFieldStart("out");
        for (Object item : batch.list("news")) {
            Map.Entry<?, ?> event = singleEntry(item);
            handle((String) event.getKey(), event.getValue(), reply);
        }
        reply.writeEndArray();
        reply.writeEndObject();
        reply.close();
        out.write('\n');
        out.flush();
    }

    private JsonFields parseBatch(String line) throws IOException {
        try (JsonParser parser = json.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidSettingsException("a line is not a JSON object");
            }
            JsonFields batch = JsonFields.of("batch", JsonFields.read(parser));
            if (parser.nextToken() != null) {
                throw new InvalidSettingsException("a line holds more than one JSON value");
            }
            return batch;
        } catch (JsonProcessingException malformed) {
            throw new InvalidSettingsException("a line is not JSON: " + malformed.getOriginalMessage());
        }
    }

    private static Map.Entry<?, ?> singleEntry(Object item) {
        if (!(item instanceof Map<?, ?> event) || event.size() != 1) {
            throw new InvalidSettingsException("an event is not an object with a single key");
        }
        return event.entrySet().iterator().next();
    }

    private void handle(String name, Object body, JsonGenerator reply) throws IOException {
        switch (name) {
            case "LEDGER" -> {
                JsonFields fields = JsonFields.of(name, body);
                endpointListsByNumber.put(fields.integer("sheet"), WireEventReader.endpoints(fields));
            }
            case "POWER_OFF" -> {
                String gateway = JsonFields.of(name, body).text("gateway");
                gatewaysByName.remove(gateway);
                stoppedGateways.add(gateway);
            }
            case "BOOT" -> start(JsonFields.of(name, body), reply);
            case "ANNOUNCE", "REQ", "STARTED", "RESPONSE", "VANISHED", "ALARM", "PING_RESULT", "DATAGRAM" ->
                deliver(name, JsonFields.of(name, body), reply);
            default -> {} // other events of the simulator do not concern gateways
        }
    }

    private void start(JsonFields fields, JsonGenerator reply) throws IOException {
        SimulatedGateway gateway = SimulatedGateway.create(fields, quotaSettings, () -> now);
        String name = fields.text("gateway");
        gatewaysByName.put(name, gateway);
        gateway.start(now, new WireActionWriter(reply, name));
    }

    /** Delivers an event to the gateway that it names; an event for a gateway that has been stopped is dropped. */
    private void deliver(String event, JsonFields fields, JsonGenerator reply) throws IOException {
        String name = fields.text("gateway");
        SimulatedGateway gateway = gatewaysByName.get(name);
        if (gateway != null) {
            deliver(event, fields, gateway, new WireActionWriter(reply, name));
        } else if (!stoppedGateways.contains(name)) {
            String message = event + ": field gateway names a gateway that was never started: " + name;
            throw InvalidSettingsException.ofField(message, event, "gateway", name, "a gateway that was started");
        }
    }

    private void deliver(String event, JsonFields fields, SimulatedGateway gateway, WireActionWriter writer) throws IOException {
        switch (event) {
            case "ALARM" -> gateway.onTimer(now, fields.integer("tag"), writer);
            case "DATAGRAM" ->
                gateway.onDatagram(now, (int) fields.integer("from"), WireEventReader.datagram(fields.text("body")), writer);
            default -> gateway.onEvent(now, decode(event, fields, gateway.reader()), writer);
        }
    }

    private Event decode(String event, JsonFields fields, WireEventReader reader) {
        return switch (event) {
            case "ANNOUNCE" -> reader.endpointUpdate(fields, endpointList(fields));
            case "REQ" -> reader.requestArrived(fields);
            case "STARTED" -> reader.responseStarted(fields);
            case "RESPONSE" -> reader.attemptEnded(fields);
            case "VANISHED" -> new Event.ClientDisconnected(new RequestId(fields.text("ref")));
            case "PING_RESULT" -> reader.healthCheckEnded(fields);
            default -> throw new IllegalArgumentException(event);
        };
    }

    private List<Endpoint> endpointList(JsonFields announcement) {
        if (announcement.text("how").equals("broken")) {
            return List.of();
        }
        long number = announcement.integer("sheet");
        List<Endpoint> endpoints = endpointListsByNumber.get(number);
        if (endpoints == null) {
            String message = "ANNOUNCE: field sheet is not the number of an endpoint list";
            throw InvalidSettingsException.ofField(message, "ANNOUNCE", "sheet", number, "the number of an endpoint list");
        }
        return endpoints;
    }
}
