package ploverdale.replication;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Hash functions that all gateways of a fleet must agree on. Stateless. */
final class Hashing {
    private static final byte SESSION_PREFIX = 's';
    private static final byte WRITE_PREFIX = 'w';

    private Hashing() {}

    /** Spreads bits (the finalizer of SplitMix64), so that sums of its results hardly ever collide by accident. */
    static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }

    /** The key of a session or of a write's idempotency key: 64 bits of SHA-256, which clients cannot make collide. */
    static long key(boolean session, String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(session ? SESSION_PREFIX : WRITE_PREFIX);
            byte[] hash = digest.digest(text.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing); // every Java platform has to provide it
        }
    }
}
