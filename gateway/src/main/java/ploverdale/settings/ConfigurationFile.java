package ploverdale.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The configuration of one gateway: the JSON file that EDGE_CONFIG or {@code --config} names, read and checked. Opens no
 * socket and looks up no host name: addresses are numeric.
 *
 * @param name the gateway's name, for log lines
 * @param listen where clients connect
 * @param discovery where the discovery agent is reached
 * @param seed of all random draws
 * @param sockets how many descriptors the gateway may use
 * @param settings the settings of the deployment
 * @param known the endpoint list as it was when the file was written
 * @param peerListen where gossip of other gateways arrives; null where there is none
 * @param peers each gateway's address for gossip, by its number; empty where they are not named
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
     * Reads the file.
     *
     * @throws InvalidSettingsException if it cannot be read, or a field is missing or cannot be used
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

    /** The order of the checks decides which of several faults is reported. */
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

    /** Null where there are no other gateways, or gossip is not allowed. */
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
                    SOURCE + " with a field peers of " + peers.size() + ", settings with " + gateways + " instances",
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
                    SOURCE + " with a field seed that is no hexadecimal number",
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
                    SOURCE + " with a field " + field + " that is no address and port: " + text,
                    SOURCE,
                    field,
                    text,
                    NumericAddress.FORM);
        }
        return address;
    }
}
