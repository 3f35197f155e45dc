package ploverdale.replication;

import java.util.Set;

/**
 * What is kept, by how many, and how long anybody waits for it. Times in tenths of a millisecond.
 *
 * @param copies keepers of each key; of fewer gateways, all
 * @param sessions whether positions of sessions are kept
 * @param sessionsFor for how long; reads of a session not known need data no older than this at the least
 * @param askWithin for how long an op waits for its keepers at most; then its past is unknown
 * @param submitsFor within which a write under an id may be submitted again; 0: ids are not stable, no fates are kept
 * @param retriesMarked whether clients mark what they submit again, so that an unmarked one is the first
 * @param waits names of op types whose acks wait until a majority of keepers has a copy
 * @param waitWithin for how long they wait at most; then the op is errored, since nothing may be promised
 * @param most facts held here at the most
 * @param clocksApart by which the clocks that positions and starts are told by may differ at most
 */
public record ReplicationSettings(
        int copies,
        boolean sessions,
        long sessionsFor,
        long askWithin,
        long submitsFor,
        boolean retriesMarked,
        Set<String> waits,
        long waitWithin,
        int most,
        long clocksApart) {
    public ReplicationSettings {
        waits = Set.copyOf(waits);
        if (copies < 1 || copies > ReplicaPlacement.COPIES_MOST || sessionsFor <= 0 || most < 1) {
            throw new IllegalArgumentException(copies + " copies for " + sessionsFor + ", " + most + " at most");
        }
    }

    /** How many gateways it can be for. */
    public static int gatewaysMost() {
        return ReplicaPlacement.GATEWAYS_MOST;
    }

    public boolean submits() {
        return submitsFor > 0;
    }

    /** Whether anything is kept at all. */
    public boolean any() {
        return sessions || submits();
    }
}
