package ploverdale.replication;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * What is known of a write under its id: each claim to send it, and what was proven of that claim. A proof wins over a doubt,
 * a doubt over nothing known. Proofs that contradict one another are an alarm, and the one that forbids another send stands.
 * To err on the side of doubt costs an error; on the other side, an effect twice.
 *
 * @param at when the write was submitted first; a later time from another copy stands, so that nothing is forgotten too soon
 * @param claims by who made them, as bits of {@link #MADE}, {@link #NEVER_RAN} and {@link #SUCCEEDED}
 * @param answer to an acked write, or empty where it was not told or is too long to be kept
 */
public record WriteOutcome(long at, Map<IdempotencyRecord, Integer> claims, byte[] answer) implements VersionedEntry {
    /** A claim was made: its write may run from now on. */
    public static final int MADE = 1;
    /** Proven: the claim's write never ran and never will. */
    public static final int NEVER_RAN = 2;
    /** Proven: the claim's write ran. */
    public static final int SUCCEEDED = 4;

    static final byte KIND = 2;
    /** Claims of one id; one more is refused, which errors its op. */
    public static final int CLAIMS_MOST = 6;
    /** Bytes of the longest answer that is kept. */
    public static final int ANSWER_MOST = 96;

    private static final int CLAIM_BYTES = 13;
    private static final byte[] NONE = {};

    public WriteOutcome {
        claims = java.util.Collections.unmodifiableSortedMap(fewEnough(new TreeMap<>(claims)));
        answer = answer.length > ANSWER_MOST ? NONE : answer;
    }

    /** Over the bound, claims that never ran go first; a doubt or an acked one is never made room for those. */
    private static TreeMap<IdempotencyRecord, Integer> fewEnough(TreeMap<IdempotencyRecord, Integer> claims) {
        while (claims.size() > CLAIMS_MOST) {
            IdempotencyRecord least = claims.entrySet().stream()
                    .filter(e -> (e.getValue() & NEVER_RAN) != 0)
                    .map(Map.Entry::getKey)
                    .findFirst()
                    .orElse(claims.firstKey());
            claims.remove(least);
        }
        return claims;
    }

    /** One claim and what is known of it. */
    public static WriteOutcome of(long at, IdempotencyRecord claim, int bits, byte[] answer) {
        return new WriteOutcome(at, Map.of(claim, bits | MADE), answer);
    }

    public boolean acked() {
        return claims.values().stream().anyMatch(b -> (b & SUCCEEDED) != 0);
    }

    /** Whether some claim's write may still run, or may have. */
    public boolean inDoubt() {
        return claims.values().stream().anyMatch(b -> (b & (NEVER_RAN | SUCCEEDED)) == 0);
    }

    /** Whether nothing was sent, or all that was is proven not to have run: it may be sent again, by another claim. */
    public boolean free() {
        return !acked() && !inDoubt();
    }

    /** Whether that is so but for this claim. */
    boolean isFreeBut(IdempotencyRecord claim) {
        return claims.entrySet().stream()
                .allMatch(e -> e.getKey().equals(claim) || (e.getValue() & (NEVER_RAN | SUCCEEDED)) == NEVER_RAN);
    }

    /** Whether two proofs contradict one another: ran and never ran, or ran twice. */
    public boolean alarm() {
        return claims.values().stream().anyMatch(b -> (b & (NEVER_RAN | SUCCEEDED)) == (NEVER_RAN | SUCCEEDED))
                || claims.values().stream().filter(b -> (b & SUCCEEDED) != 0).count() > 1;
    }

    /** Whether it can be told of one more claim. */
    boolean hasRoom(IdempotencyRecord claim) {
        return claims.containsKey(claim) || claims.size() < CLAIMS_MOST;
    }

    @Override
    public VersionedEntry join(VersionedEntry other) {
        if (!(other instanceof WriteOutcome f)) {
            return this;
        }
        Map<IdempotencyRecord, Integer> all = new TreeMap<>(claims);
        f.claims.forEach((c, bits) -> all.merge(c, bits, (a, b) -> a | b));
        int order = Arrays.compare(answer, f.answer); // one answer in truth; of two, the same one at each copy
        return new WriteOutcome(Math.max(at, f.at), all, order >= 0 ? answer : f.answer);
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof WriteOutcome f && at == f.at && claims.equals(f.claims) && Arrays.equals(answer, f.answer);
    }

    @Override
    public int hashCode() {
        return (int) hash();
    }

    @Override
    public String toString() {
        return "fate of " + at + " " + claims + (answer.length > 0 ? ", answered" : "");
    }

    @Override
    public long hash() {
        long h = at;
        for (Map.Entry<IdempotencyRecord, Integer> e : claims.entrySet()) {
            h = VersionedEntry.mix(h
                            + e.getKey().gateway() * 0x9E3779B97F4A7C15L
                            + e.getKey().start() * 31
                            + e.getKey().number())
                    + e.getValue();
        }
        return VersionedEntry.mix(h * 31 + Arrays.hashCode(answer));
    }

    @Override
    public void write(ByteBuffer to) {
        to.put(KIND).putLong(at).put((byte) Math.min(CLAIMS_MOST, claims.size()));
        claims.entrySet().stream()
                .limit(CLAIMS_MOST)
                .forEach(e -> to.putShort((short) e.getKey().gateway())
                        .putShort((short) (e.getKey().start() >>> 32))
                        .putInt((int) e.getKey().start())
                        .putInt(e.getKey().number())
                        .put(e.getValue().byteValue()));
        to.put((byte) answer.length).put(answer);
    }

    @Override
    public int length() {
        return 1 + 8 + 1 + CLAIM_BYTES * Math.min(CLAIMS_MOST, claims.size()) + 1 + answer.length;
    }

    static WriteOutcome readContent(ByteBuffer from) {
        if (from.remaining() < 9) {
            return null;
        }
        long at = from.getLong();
        int n = from.get();
        if (n < 0 || n > CLAIMS_MOST || from.remaining() < n * CLAIM_BYTES + 1) {
            return null;
        }
        Map<IdempotencyRecord, Integer> claims = new TreeMap<>();
        for (int i = 0; i < n; i++) {
            int gateway = from.getShort() & 0xFFFF;
            long start = (from.getShort() & 0xFFFFL) << 32 | from.getInt() & 0xFFFFFFFFL;
            claims.put(new IdempotencyRecord(gateway, start, from.getInt()), (int) from.get());
        }
        int length = from.get();
        if (length < 0 || length > ANSWER_MOST || length > from.remaining()) {
            return null;
        }
        byte[] answer = new byte[length];
        from.get(answer);
        return new WriteOutcome(at, claims, answer);
    }
}
