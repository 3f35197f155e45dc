package ploverdale.gossip;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import ploverdale.model.ServerId;

/**
 * The hash by which a datagram names a server. A receiver only looks up servers of its own endpoint list, so gateways need
 * not agree on an order of servers. Ids that differ in at most four neighbouring bytes never collide.
 */
public final class ServerHash {
    private static final int SHORT_MASK = 0xFFFF;

    private ServerHash() {}

    /** The 32-bit hash, as in an observation. */
    public static int of(ServerId server) {
        CRC32C crc = new CRC32C();
        crc.update(server.value().getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    /** The same folded to 16 bits, as in a position entry; from 0 to 65535. */
    static int shortOf(ServerId server) {
        int hash = of(server);
        return (hash ^ hash >>> Short.SIZE) & SHORT_MASK;
    }
}
