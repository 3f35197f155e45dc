package ploverdale.replication;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Hash functions whose results must be the same at all gateways of a fleet. Stateless. */
final class Hashing {
    private static final byte SESSION_PREFIX = 's';
    private static final byte WRITE_PREFIX = 'w';

    private Hashing() {}

    /**
     * Mixes the bits of a value (the finalizer of SplitMix64). Sums of its results are very unlikely to collide by
     * accident.
     */
    static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }

    /**
     * Returns the key of a session or of a write's idempotency key: the first 64 bits of SHA-256, since clients must
     * not be able to construct collisions.
     *
     * @param isSession whether it is the key of a session
     * @param identifier the session's name, or the write's idempotency key
     */
    static long key(boolean isSession, String identifier) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(isSession ? SESSION_PREFIX : WRITE_PREFIX);
            byte[] hash = digest.digest(identifier.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing); // every Java platform is required to provide it
        }
    }
}
