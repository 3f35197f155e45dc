package ploverdale.net.client;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;

/**
 * Remembers the ids of requests that may have run, or may still run: those whose clients left after an attempt had been
 * written, and writes that were answered after an attempt and must not run again. A request with the same id must not be
 * forwarded. Bounded in time and number; of each id only a hash is kept. Not thread-safe.
 */
final class ExecutedRequests {
    /** How long an id is remembered: several times the longest timeout of a request. */
    static final long RETENTION_MS = 60_000;

    /** How many ids are remembered at most, some hundred bytes each; the oldest is forgotten first. */
    static final int MAX_IDS = 8192;

    private final Map<UUID, Long> executedAtMs = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UUID, Long> eldest) {
            return size() > MAX_IDS;
        }
    };

    /** Remembers an id. */
    void add(String id, long nowMs) {
        UUID hash = hash(id);
        executedAtMs.remove(hash); // put again as the youngest
        executedAtMs.put(hash, nowMs);
    }

    /** Returns whether a request with this id may have run. */
    boolean contains(String id, long nowMs) {
        if (executedAtMs.isEmpty()) {
            return false;
        }
        Long at = executedAtMs.get(hash(id));
        return at != null && nowMs - at <= RETENTION_MS;
    }

    private static UUID hash(String id) {
        return UUID.nameUUIDFromBytes(id.getBytes(UTF_8));
    }
}
