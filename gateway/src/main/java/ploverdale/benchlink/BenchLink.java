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
import java.util.Optional;
import java.util.Set;
import ploverdale.membership.PacketQueue;
import ploverdale.model.Action;
import ploverdale.model.Endpoint;
import ploverdale.model.Event;
import ploverdale.model.Event.Started;
import ploverdale.model.RequestId;
import ploverdale.quota.QuotaNode;
import ploverdale.quota.QuotaSettings;
import ploverdale.routing.Router;
import ploverdale.settings.InvalidSettingsException;
import ploverdale.settings.JsonFields;

/** Speaks the simulator's wire: one Logic for each gateway, nothing shared but the numbered lists. */
public final class BenchLink {
    private static final long SHARED_MARK = 1; // of wake-ups for the fleet's parts; the module's is 0

    /** @param shared null but where a fleet file switches it on */
    private record Host(Router router, Reader reader, QuotaNode shared) {}

    private final BufferedReader in;
    private final OutputStream out;
    private final JsonFactory json = JsonFactory.builder().build();
    private final Map<Long, List<Endpoint>> ledgers = new HashMap<>();
    private final Map<String, Host> hosts = new HashMap<>();
    private final Set<String> stopped = new HashSet<>();
    private final QuotaSettings quotaSettings;
    private long now;

    /** @param quotaSettings what gateways that may talk divide among themselves; null: nothing */
    public BenchLink(InputStream in, OutputStream out, QuotaSettings quotaSettings) {
        this.quotaSettings = quotaSettings;
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = new BufferedOutputStream(out, 1 << 16);
    }

    /** Answers batch after batch until the input ends. */
    public void run() throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (!line.isBlank()) {
                reply(line);
            }
        }
    }

    private void reply(String line) throws IOException {
        JsonFields batch = batch(line);
        now = JsonFields.up(batch.number("timeMs"));
        JsonGenerator g = json.createGenerator(out);
        g.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        g.writeStartObject();
        g.writeArrayFieldStart("out");
        for (Object item : batch.list("news")) {
            if (!(item instanceof Map<?, ?> event) || event.size() != 1) {
                throw new InvalidSettingsException("an event is not an object with a single key");
            }
            for (Map.Entry<?, ?> e : event.entrySet()) {
                event(g, now, (String) e.getKey(), e.getValue());
            }
        }
        g.writeEndArray();
        g.writeEndObject();
        g.close();
        out.write('\n');
        out.flush();
    }

    private JsonFields batch(String line) throws IOException {
        try (JsonParser p = json.createParser(line)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidSettingsException("a line is not a JSON object");
            }
            JsonFields batch = JsonFields.of("batch", JsonFields.read(p));
            if (p.nextToken() != null) {
                throw new InvalidSettingsException("a line holds more than one JSON value");
            }
            return batch;
        } catch (JsonProcessingException e) {
            throw new InvalidSettingsException("a line is not JSON: " + e.getOriginalMessage());
        }
    }

    private void event(JsonGenerator g, long now, String name, Object body) throws IOException {
        switch (name) {
            case "LEDGER" -> {
                JsonFields f = JsonFields.of(name, body);
                ledgers.put(f.whole("sheet"), Reader.endpoints(f));
            }
            case "POWER_OFF" -> {
                String gateway = JsonFields.of(name, body).text("gateway");
                hosts.remove(gateway);
                stopped.add(gateway);
            }
            case "BOOT" -> {
                JsonFields f = JsonFields.of(name, body);
                Reader reader = new Reader(f);
                Started told = reader.started();
                if (quotaSettings != null && quotaSettings.replication() != null) {
                    throw new InvalidSettingsException(
                            "fleet file with a field sessions or submits, which are kept on sockets only");
                }
                QuotaNode shared = quotaSettings == null || !told.capabilities().peerMessages() || told.gateways() < 2
                        ? null
                        : new QuotaNode(
                                quotaSettings,
                                told,
                                1 + now / 10,
                                () -> this.now,
                                () -> this.now); // 0 would be no start at all
                Host host = new Host(new Router(shared == null ? null : shared.quota()), reader, shared);
                hosts.put(f.text("gateway"), host);
                tell(g, now, f.text("gateway"), host, told);
                lookRound(g, f.text("gateway"), host);
            }
            case "ANNOUNCE", "REQ", "STARTED", "RESPONSE", "VANISHED", "ALARM", "PING_RESULT", "DATAGRAM" -> {
                JsonFields f = JsonFields.of(name, body);
                String gateway = f.text("gateway");
                Host host = hosts.get(gateway);
                if (host != null && host.shared() != null && name.equals("ALARM") && f.whole("tag") == SHARED_MARK) {
                    lookRound(g, gateway, host);
                } else if (host != null
                        && host.shared() != null
                        && name.equals("DATAGRAM")
                        && sharedHears(g, gateway, host, f)) {
                    return;
                } else if (host != null) {
                    tell(g, now, gateway, host, event(name, f, host.reader()));
                } else if (!stopped.contains(gateway)) {
                    throw new InvalidSettingsException(
                            name + " with a field gateway that names one never started: " + gateway);
                }
            }
            default -> {}
        }
    }

    private void lookRound(JsonGenerator g, String gateway, Host host) throws IOException {
        if (host.shared() != null) {
            write(g, gateway, host.shared(), host.shared().onTick());
            new Writer(g, gateway).write(new Action.SetTimer(now + QuotaNode.TICK_INTERVAL, SHARED_MARK));
        }
    }

    private boolean sharedHears(JsonGenerator g, String gateway, Host host, JsonFields f) throws IOException {
        Optional<List<PacketQueue.OutboundPacket>> answers =
                host.shared().onDatagram((int) f.whole("from"), Reader.bytes(f.text("body")));
        write(g, gateway, host.shared(), answers.orElse(List.of()));
        return answers.isPresent();
    }

    private static void write(
            JsonGenerator g, String gateway, QuotaNode shared, List<PacketQueue.OutboundPacket> letters)
            throws IOException {
        for (PacketQueue.OutboundPacket l : letters) {
            new Writer(g, gateway).write(new Action.SendGossip(l.to(), l.bytes()));
        }
        for (String line : shared.drainLogLines()) {
            new Writer(g, gateway).write(new Action.LogLine(line));
        }
    }

    private Event event(String name, JsonFields f, Reader reader) {
        return switch (name) {
            case "ANNOUNCE" -> reader.listTold(f, ledgerOf(f));
            case "REQ" -> reader.opArrived(f);
            case "STARTED" -> reader.answerBegun(f);
            case "RESPONSE" -> reader.sendEnded(f);
            case "VANISHED" -> new Event.ClientDisconnected(new RequestId(f.text("ref")));
            case "ALARM" -> new Event.TimerFired(f.whole("tag"));
            case "PING_RESULT" -> reader.probeEnded(f);
            default -> new Event.GossipReceived((int) f.whole("from"), Reader.bytes(f.text("body")));
        };
    }

    private List<Endpoint> ledgerOf(JsonFields f) {
        if (f.text("how").equals("broken")) {
            return List.of();
        }
        List<Endpoint> rows = ledgers.get(f.whole("sheet"));
        if (rows == null) {
            throw new InvalidSettingsException("ANNOUNCE with a field sheet that names no list");
        }
        return rows;
    }

    private static void tell(JsonGenerator g, long now, String gateway, Host host, Event event) throws IOException {
        List<Action> actions;
        try {
            actions = host.router().on(now, event);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            new Writer(g, gateway).broken(e + (trace.length > 0 ? " at " + trace[0] : ""));
            return;
        }
        for (Action action : actions) {
            new Writer(g, gateway).write(action);
        }
    }
}
