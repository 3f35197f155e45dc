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
 * Speaks the simulator's wire: each line of input is a batch of events at one point in simulated time, each line of output
 * the actions in reply. Simulated gateways share nothing but the endpoint lists, which the wire numbers.
 *
 * <p>Used on one thread. Times are tenths of a millisecond.
 */
public final class BenchLink {
    private static final int BUFFER_SIZE = 1 << 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final JsonFactory json = JsonFactory.builder().build();
    private final QuotaSettings quotaSettings;
    private final Map<Long, List<Endpoint>> endpointLists = new HashMap<>();
    private final Map<String, SimulatedGateway> gateways = new HashMap<>();
    private final Set<String> stoppedGateways = new HashSet<>();
    private long now;

    /** @param quotaSettings the quota that gateways share if they may exchange messages; null: none */
    public BenchLink(InputStream in, OutputStream out, QuotaSettings quotaSettings) {
        this.quotaSettings = quotaSettings;
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_SIZE);
        this.out = new BufferedOutputStream(out, BUFFER_SIZE);
    }

    /**
     * Answers batch after batch until the input ends.
     *
     * @throws InvalidSettingsException if a batch cannot be read
     */
    public void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (!line.isBlank()) {
                answer(line);
            }
        }
    }

    private void answer(String line) throws IOException {
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
                endpointLists.put(fields.integer("sheet"), Reader.endpoints(fields));
            }
            case "POWER_OFF" -> {
                String gateway = JsonFields.of(name, body).text("gateway");
                gateways.remove(gateway);
                stoppedGateways.add(gateway);
            }
            case "BOOT" -> start(JsonFields.of(name, body), reply);
            case "ANNOUNCE", "REQ", "STARTED", "RESPONSE", "VANISHED", "ALARM", "PING_RESULT", "DATAGRAM" ->
                deliver(name, JsonFields.of(name, body), reply);
            default -> {} // of no concern to gateways
        }
    }

    private void start(JsonFields fields, JsonGenerator reply) throws IOException {
        SimulatedGateway gateway = SimulatedGateway.create(fields, quotaSettings, () -> now);
        String name = fields.text("gateway");
        gateways.put(name, gateway);
        gateway.start(now, new Writer(reply, name));
    }

    /** Delivers an event to the gateway that it names; one for a gateway that has been stopped is dropped. */
    private void deliver(String event, JsonFields fields, JsonGenerator reply) throws IOException {
        String name = fields.text("gateway");
        SimulatedGateway gateway = gateways.get(name);
        if (gateway != null) {
            deliver(event, fields, gateway, new Writer(reply, name));
        } else if (!stoppedGateways.contains(name)) {
            String message = event + " with a field gateway that names one never started: " + name;
            throw InvalidSettingsException.ofField(message, event, "gateway", name, "a gateway that was started");
        }
    }

    private void deliver(String event, JsonFields fields, SimulatedGateway gateway, Writer writer) throws IOException {
        switch (event) {
            case "ALARM" -> gateway.onTimer(now, fields.integer("tag"), writer);
            case "DATAGRAM" ->
                gateway.onDatagram(now, (int) fields.integer("from"), Reader.datagram(fields.text("body")), writer);
            default -> gateway.onEvent(now, decode(event, fields, gateway.reader()), writer);
        }
    }

    private Event decode(String event, JsonFields fields, Reader reader) {
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
        List<Endpoint> endpoints = endpointLists.get(number);
        if (endpoints == null) {
            String message = "ANNOUNCE with a field sheet that names no list";
            throw InvalidSettingsException.ofField(message, "ANNOUNCE", "sheet", number, "the number of a list");
        }
        return endpoints;
    }
}
