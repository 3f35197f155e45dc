package ploverdale.replication;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * With which peers this gateway has completed an anti-entropy round since its start, and up to when each of those may itself
 * have lacked entries. Times are Unix times in tenths of a millisecond. Not thread-safe.
 */
final class SynchronizedPeers {
    private static final long NEVER_SYNCHRONIZED = Long.MAX_VALUE;

    private final int self;
    private final long[] missingUntil;
    private final List<Integer> unsynchronized = new ArrayList<>();
    private int next;

    /**
     * No round is complete yet.
     *
     * @param self this gateway's number
     */
    SynchronizedPeers(int self, int gateways) {
        this.self = self;
        missingUntil = new long[gateways];
        Arrays.fill(missingUntil, NEVER_SYNCHRONIZED);
        missingUntil[self] = EntryStore.NOTHING_MISSING;
        for (int gateway = 0; gateway < gateways; gateway++) {
            if (gateway != self) {
                unsynchronized.add(gateway);
            }
        }
    }

    /** Up to when a peer may have lacked entries at the last round with it; without one, the end of time. */
    long missingUntil(int peer) {
        return missingUntil[peer];
    }

    /** The latest of these times. */
    long missingUntilOfAll() {
        return Arrays.stream(missingUntil).max().orElse(NEVER_SYNCHRONIZED);
    }

    /** A round with a peer is complete; true where it was the last one of the first rounds with all. */
    boolean markSynchronized(int peer, long peerMissingUntil) {
        missingUntil[peer] = peerMissingUntil;
        return unsynchronized.remove((Integer) peer) && unsynchronized.isEmpty();
    }

    /** The peers that are alive and have not been synchronized with. */
    List<Integer> unsynchronized(IntPredicate isAlive) {
        return unsynchronized.stream().filter(isAlive::test).toList();
    }

    /** The next peer in turn that is alive, alone in a list; an empty list where there is none. */
    List<Integer> nextInTurn(IntPredicate isAlive) {
        for (int offset = 0; offset < missingUntil.length; offset++) {
            int peer = (next + offset) % missingUntil.length;
            if (peer != self && isAlive.test(peer)) {
                next = peer + 1;
                return List.of(peer);
            }
        }
        return List.of();
    }
}
