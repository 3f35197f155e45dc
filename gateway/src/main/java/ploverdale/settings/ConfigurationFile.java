package ploverdale.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The configuration of one gateway: the content of the JSON file that EDGE_CONFIG or {@code --config} names, after
 * validation. Addresses are numeric, so that no host name is ever looked up.
 *
 * @param name the gateway's name, for log lines
 * @param listen the address at which clients connect
 * @param discovery the address of the discovery agent
 * @param seed the seed of all random decisions
 * @param sockets how many file descriptors the gateway may use
 * @param settings the settings of the deployment
 * @param known the endpoint list as it was when the file was written
 * @param peerListen the address at which gossip of other gateways is received; null if no gossip is exchanged
 * @param peers the gossip address of each gateway, by the gateway's index; empty if the file does not name them
 */
public record ConfigurationFile(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        GatewaySettings settings,
        EndpointList known,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers) {
    private static final String SOURCE = "configuration";
    private static final int MIN_SOCKETS = 64;
    private static final int MAX_SOCKETS = 1_000_000;
    private static final int HEXADECIMAL = 16;

    /**
     * Reads and validates the file.
     *
     * @throws InvalidSettingsException if the file cannot be read, or a field is missing or invalid
     */
    public static ConfigurationFile read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException failure) {
            throw new InvalidSettingsException(SOURCE + " " + file + " cannot be read: " + failure.getMessage());
        }
        return of(JsonFields.parse(SOURCE, text));
    }

    /** Validates the fields. If several are invalid, the first one checked is reported, so the order matters. */
    private static ConfigurationFile of(JsonFields fields) {
        fields.require("settings");
        long seed = seed(fields.text("seed"));
        GatewaySettings settings = new GatewaySettings(seed, fields.object("settings"));
        if (settings.requestClasses().isEmpty()) {
            throw InvalidSettingsException.missingField(SOURCE + ".settings", "profiles");
        }
        fields.require("limits");
        int sockets = sockets(fields.object("limits"));
        fields.require("known");
        return new ConfigurationFile(
                fields.text("name"),
                address("listen", fields.text("listen")),
                address("discovery", fields.text("discovery")),
                seed,
                sockets,
                settings,
                EndpointListReader.read(fields.object("known"), settings),
                peerListen(fields, settings),
                peers(fields, settings));
    }

    private static int sockets(JsonFields limits) {
        long sockets = limits.integer("sockets");
        if (sockets < MIN_SOCKETS || sockets > MAX_SOCKETS) {
            throw InvalidSettingsException.outOfRange(
                    SOURCE + ".limits", "sockets", sockets, MIN_SOCKETS + " to " + MAX_SOCKETS);
        }
        return (int) sockets;
    }

    /** Returns null if there are no other gateways, or if the settings do not allow gossip. */
    private static InetSocketAddress peerListen(JsonFields fields, GatewaySettings settings) {
        boolean enabled = fields.has("peer_listen")
                && fields.list("peers").size() > 1
                && settings.started().capabilities().peerMessagesAllowed();
        return enabled ? address("peer_listen", fields.text("peer_listen")) : null;
    }

    private static List<InetSocketAddress> peers(JsonFields fields, GatewaySettings settings) {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (Object peer : fields.list("peers")) {
            peers.add(address("peers", String.valueOf(peer)));
        }
        int gateways = settings.started().gateways();
        if (!peers.isEmpty() && peers.size() != gateways) {
            throw InvalidSettingsException.ofField(
                    SOURCE + ": field peers has " + peers.size() + " addresses, but the settings have " + gateways + " gateways",
                    SOURCE,
                    "peers",
                    peers.size(),
                    gateways + " addresses");
        }
        return peers;
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, HEXADECIMAL);
        } catch (NumberFormatException notHexadecimal) {
            throw InvalidSettingsException.ofField(
                    SOURCE + ": field seed is not a hexadecimal number",
                    SOURCE,
                    "seed",
                    text,
                    "a hexadecimal number");
        }
    }

    private static InetSocketAddress address(String field, String text) {
        InetSocketAddress address = NumericAddress.parse(text);
        if (address == null) {
            throw InvalidSettingsException.ofField(
                    SOURCE + ": field " + field + " is not an IP address with a port: " + text,
                    SOURCE,
                    field,
                    text,
                    NumericAddress.EXPECTED_FORM);
        }
        return address;
    }
}
