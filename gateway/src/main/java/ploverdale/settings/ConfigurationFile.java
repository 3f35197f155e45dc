package ploverdale.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import ploverdale.model.Endpoint;
import ploverdale.model.GroupId;
import ploverdale.model.ServerId;
import ploverdale.model.ZoneId;

/**
 * Owns the reading and checking of what a gateway is told at its start (the JSON file that EDGE_CONFIG names) and
 * of the list of servers in the form that discovery uses. Must never open a socket or look up a name: addresses
 * are figures.
 */
public record ConfigurationFile(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        GatewaySettings settings,
        ServerList known,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers) {

    /** A list of servers, whole or its changes, with where each is reached; unusable entries are left out. */
    public record ServerList(long revision, boolean whole, List<Entry> entries, List<String> leftOut) {}

    /** One entry; a server that is gone may have no address. */
    public record Entry(Endpoint listing, InetSocketAddress address) {}

    /** Reads the file; what is missing or misshapen is named in the exception's one line. */
    public static ConfigurationFile read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidSettingsException("configuration " + file + " cannot be read: " + e.getMessage());
        }
        JsonFields all = JsonFields.of("configuration", json(text, "configuration"));
        if (!all.has("settings")) {
            throw new InvalidSettingsException("configuration without field settings");
        }
        GatewaySettings settings = new GatewaySettings(seed(all.text("seed")), all.object("settings"));
        if (settings.requestClasses().isEmpty()) {
            throw new InvalidSettingsException("configuration.settings without field profiles");
        }
        if (!all.has("limits")) {
            throw new InvalidSettingsException("configuration without field limits");
        }
        long sockets = all.object("limits").whole("sockets");
        if (sockets < 64 || sockets > 1_000_000) {
            throw new InvalidSettingsException("configuration.limits with a field sockets out of range: " + sockets);
        }
        if (!all.has("known")) {
            throw new InvalidSettingsException("configuration without field known");
        }
        return new ConfigurationFile(
                all.text("name"),
                address("listen", all.text("listen")),
                address("discovery", all.text("discovery")),
                seed(all.text("seed")),
                (int) sockets,
                settings,
                serverList(all.object("known"), settings),
                peerListen(all, settings),
                peers(all, settings));
    }

    /** Where other instances' words come in; null where there are none or words are not allowed. */
    private static InetSocketAddress peerListen(JsonFields all, GatewaySettings settings) {
        return all.has("peer_listen")
                        && all.list("peers").size() > 1
                        && settings.started().capabilities().peerMessages()
                ? address("peer_listen", all.text("peer_listen"))
                : null;
    }

    private static List<InetSocketAddress> peers(JsonFields all, GatewaySettings settings) {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (Object o : all.list("peers")) {
            peers.add(address("peers", String.valueOf(o)));
        }
        if (!peers.isEmpty() && peers.size() != settings.started().gateways()) {
            throw new InvalidSettingsException("configuration with a field peers of " + peers.size()
                    + ", settings with " + settings.started().gateways() + " instances");
        }
        return peers;
    }

    /** One JSON value, in whole. */
    public static Object json(String text, String what) {
        try (JsonParser p = new JsonFactory().createParser(text)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidSettingsException(what + " is not a JSON object");
            }
            return JsonFields.read(p);
        } catch (JsonProcessingException e) {
            throw new InvalidSettingsException(what + " is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidSettingsException(what + " cannot be read: " + e.getMessage());
        }
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("configuration with a field seed that is no hexadecimal number");
        }
    }

    /** A list as discovery words it; the zones are those of the settings, others get the places behind them. */
    public static ServerList serverList(JsonFields f, GatewaySettings settings) {
        for (String field : List.of("revision", "members")) {
            if (!f.has(field)) {
                throw new InvalidSettingsException("a list of servers without field " + field);
            }
        }
        List<Entry> entries = new ArrayList<>();
        List<String> leftOut = new ArrayList<>();
        for (Object row : f.list("members")) {
            try {
                entries.add(entry(JsonFields.of("members", row), settings));
            } catch (InvalidSettingsException e) {
                leftOut.add(e.getMessage());
            }
        }
        return new ServerList(f.whole("revision"), f.mark("complete"), entries, leftOut);
    }

    private static Entry entry(JsonFields e, GatewaySettings settings) {
        String id = e.text("id");
        Endpoint.EndpointState stage = switch (e.text("phase")) {
            case "DRAINING" -> Endpoint.EndpointState.DRAINING;
            case "DELETED" -> Endpoint.EndpointState.GONE;
            case "SERVING" -> Endpoint.EndpointState.IN;
            default -> throw new InvalidSettingsException(id + " with a phase " + e.text("phase"));
        };
        InetSocketAddress address = parse(e.text("host_port", ""));
        if (address == null && stage != Endpoint.EndpointState.GONE) {
            throw new InvalidSettingsException(id + " without an address that can be used: " + e.text("host_port", ""));
        }
        int zone = settings.zones().indexOf(e.text("locality", ""));
        return new Entry(
                new Endpoint(
                        new ServerId(id),
                        new GroupId((long) e.number("cell", 0)),
                        new ZoneId(zone < 0 ? settings.zones().size() : zone),
                        stage,
                        e.text("rank", "").equals("source"),
                        JsonFields.up(e.number("up_since_ms", 0))),
                address);
    }

    private static InetSocketAddress address(String field, String text) {
        InetSocketAddress a = parse(text);
        if (a == null) {
            throw new InvalidSettingsException(
                    "configuration with a field " + field + " that is no address and port: " + text);
        }
        return a;
    }

    /** An address in figures with its port, or null; nothing is looked up. */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return null;
        }
        String host = text.substring(0, colon);
        boolean six = host.startsWith("[") && host.endsWith("]");
        boolean figures = six
                ? host.substring(1, host.length() - 1).matches("[0-9a-fA-F:.]+")
                : host.matches("\\d{1,3}(\\.\\d{1,3}){3}");
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return figures && port >= 0 && port < 65536
                    ? new InetSocketAddress(InetAddress.getByName(host), port)
                    : null;
        } catch (NumberFormatException | java.net.UnknownHostException e) {
            return null;
        }
    }
}
