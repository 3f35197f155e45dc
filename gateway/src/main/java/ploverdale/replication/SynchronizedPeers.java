package ploverdale.replication;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Records with which peers this gateway has completed an anti-entropy round since its start, and up to which time
 * each of those peers may itself have lacked entries. Times are Unix times in tenths of a millisecond. Not
 * thread-safe.
 */
final class SynchronizedPeers {
    private static final long NEVER_SYNCHRONIZED = Long.MAX_VALUE;

    private final int self;
    private final long[] missingUntil;
    private final List<Integer> unsynchronized = new ArrayList<>();
    private int nextPeer;

    /**
     * Starts without any completed round.
     *
     * @param self this gateway's number
     * @param gateways number of gateways of the fleet
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

    /**
     * Returns the time up to which a peer may have lacked entries at the last round with it; {@link Long#MAX_VALUE}
     * if no round with it has been completed.
     */
    long missingUntil(int peer) {
        return missingUntil[peer];
    }

    /** Returns the latest of these times over all peers. */
    long missingUntilOfAll() {
        return Arrays.stream(missingUntil).max().orElse(NEVER_SYNCHRONIZED);
    }

    /**
     * Records that a round with a peer is complete. Returns true if with it a round with every peer has been
     * completed for the first time.
     */
    boolean markSynchronized(int peer, long peerMissingUntil) {
        missingUntil[peer] = peerMissingUntil;
        return unsynchronized.remove((Integer) peer) && unsynchronized.isEmpty();
    }

    /** Returns the peers that are alive and with which no round has been completed. */
    List<Integer> unsynchronized(IntPredicate isAlive) {
        return unsynchronized.stream().filter(isAlive::test).toList();
    }

    /** Returns a list with the next peer in round-robin order that is alive; an empty list if there is none. */
    List<Integer> nextInTurn(IntPredicate isAlive) {
        for (int offset = 0; offset < missingUntil.length; offset++) {
            int peer = (nextPeer + offset) % missingUntil.length;
            if (peer != self && isAlive.test(peer)) {
                nextPeer = peer + 1;
                return List.of(peer);
            }
        }
        return List.of();
    }
}
