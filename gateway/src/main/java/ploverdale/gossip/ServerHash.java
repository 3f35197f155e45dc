package ploverdale.gossip;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import ploverdale.model.ServerId;

/**
 * The hash that identifies a server in a datagram. A receiver looks it up among the servers of its own endpoint list,
 * so the gateways need not agree on a numbering of servers. Ids that differ only within four adjacent bytes never have
 * the same 32-bit hash, by the properties of a CRC.
 */
public final class ServerHash {
    private static final int SHORT_MASK = 0xFFFF;

    private ServerHash() {}

    /** Returns the 32-bit hash, which entries of observations use. */
    public static int of(ServerId server) {
        CRC32C crc = new CRC32C();
        crc.update(server.value().getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    /** Returns the hash folded to 16 bits, from 0 to 65535, which entries of positions use. */
    static int shortOf(ServerId server) {
        int hash = of(server);
        return (hash ^ hash >>> Short.SIZE) & SHORT_MASK;
    }
}
