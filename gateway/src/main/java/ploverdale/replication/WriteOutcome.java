package ploverdale.replication;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The idempotency record of a write: every claim to execute it, with what is proven of that claim. Proofs accumulate.
 * If two of them contradict each other, {@link LocalReplica} raises an alarm and the write counts as executed, since
 * an error to the client costs less than executing the write twice. Immutable.
 *
 * @param timestamp when the write was first submitted, a Unix time in tenths of a millisecond; when replicas differ,
 *     the later time wins, so that no record expires too early
 * @param claims at most {@value #MAX_CLAIMS}, sorted
 * @param response of an executed write; empty if it is unknown or longer than {@value #MAX_RESPONSE_BYTES} bytes
 */
record WriteOutcome(long timestamp, Map<ClaimId, ClaimState> claims, byte[] response) implements VersionedEntry {
    /** Bounds the length of an entry: a further claim to the same write is refused, and its request fails. */
    static final int MAX_CLAIMS = 6;
    /** Longer responses are not replicated, so that an entry fits into a packet. */
    static final int MAX_RESPONSE_BYTES = 96;

    static final byte[] NO_RESPONSE = {};

    private static final long GATEWAY_FACTOR = 0x9E3779B97F4A7C15L;

    WriteOutcome {
        claims = Collections.unmodifiableSortedMap(dropExcessClaims(new TreeMap<>(claims)));
        response = response.length > MAX_RESPONSE_BYTES ? NO_RESPONSE : response;
    }

    /**
     * Drops claims above the limit, first those that never ran: unlike the others, they do not prevent further
     * claims.
     */
    private static TreeMap<ClaimId, ClaimState> dropExcessClaims(TreeMap<ClaimId, ClaimState> claims) {
        while (claims.size() > MAX_CLAIMS) {
            claims.remove(leastInformative(claims));
        }
        return claims;
    }

    private static ClaimId leastInformative(TreeMap<ClaimId, ClaimState> claims) {
        return claims.entrySet().stream()
                .filter(entry -> entry.getValue().hasNeverRun())
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(claims.firstKey());
    }

    /**
     * Returns the outcome of a write with a single claim.
     *
     * @param state what is known of the claim, besides that it was made
     */
    static WriteOutcome of(long timestamp, ClaimId claim, ClaimState state, byte[] response) {
        return new WriteOutcome(timestamp, Map.of(claim, state.merge(ClaimState.CLAIMED)), response);
    }

    /** Whether the write is proven to have been executed. */
    boolean hasSucceeded() {
        return claims.values().stream().anyMatch(ClaimState::hasSucceeded);
    }

    /** Whether the write may have been executed, or may still be, under a claim of which nothing is proven. */
    boolean isInDoubt() {
        return claims.values().stream().anyMatch(ClaimState::isInDoubt);
    }

    /** Whether a further claim may be granted: no claim was made, or each one is proven never to run. */
    boolean isFree() {
        return !hasSucceeded() && !isInDoubt();
    }

    /** Whether every claim other than the given one is proven never to run. */
    boolean isFreeExceptFor(ClaimId claim) {
        return claims.entrySet().stream()
                .allMatch(entry ->
                        entry.getKey().equals(claim) || entry.getValue().isProvenNotToRun());
    }

    /** Whether proofs contradict each other: executed and never executed, or executed under two claims. */
    boolean isContradictory() {
        long successes =
                claims.values().stream().filter(ClaimState::hasSucceeded).count();
        return successes > 1 || claims.values().stream().anyMatch(ClaimState::isContradictory);
    }

    /** Whether the outcome contains the claim already or can take one more. */
    boolean hasCapacityFor(ClaimId claim) {
        return claims.containsKey(claim) || claims.size() < MAX_CLAIMS;
    }

    @Override
    public boolean permitsClaim(ClaimId claim) {
        return isFreeExceptFor(claim) && hasCapacityFor(claim);
    }

    @Override
    public VersionedEntry merge(VersionedEntry other) {
        if (!(other instanceof WriteOutcome outcome)) {
            return this;
        }
        Map<ClaimId, ClaimState> merged = new TreeMap<>(claims);
        outcome.claims.forEach((claim, state) -> merged.merge(claim, state, ClaimState::merge));
        // A write has one response. If two differ nevertheless, every replica has to keep the same one.
        boolean keepsResponse = Arrays.compare(response, outcome.response) >= 0;
        return new WriteOutcome(
                Math.max(timestamp, outcome.timestamp), merged, keepsResponse ? response : outcome.response);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof WriteOutcome outcome
                && timestamp == outcome.timestamp
                && claims.equals(outcome.claims)
                && Arrays.equals(response, outcome.response);
    }

    @Override
    public int hashCode() {
        return (int) hash();
    }

    /** The text is part of the log line of an alarm; its spelling is fixed. */
    @Override
    public String toString() {
        return "fate of " + timestamp + " " + claims + (response.length > 0 ? ", answered" : "");
    }

    @Override
    public long hash() {
        long hash = timestamp;
        for (Map.Entry<ClaimId, ClaimState> entry : claims.entrySet()) {
            ClaimId claim = entry.getKey();
            long claimHash = claim.gateway() * GATEWAY_FACTOR + claim.incarnation() * 31 + claim.number();
            hash = Hashing.mix(hash + claimHash) + entry.getValue().bits();
        }
        return Hashing.mix(hash * 31 + Arrays.hashCode(response));
    }

    @Override
    public long retention(ReplicationSettings settings) {
        return settings.resubmissionWindow() + settings.maxClockDifference();
    }

    @Override
    public void writeTo(ByteBuffer buffer) {
        EntryCodec.write(this, buffer);
    }

    @Override
    public int encodedLength() {
        return EntryCodec.encodedLength(this);
    }
}
