package ploverdale.gossip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import ploverdale.model.LoadReport;

/**
 * Selects random peers to send to, except those that have announced their shutdown. Times in tenths of a millisecond.
 */
final class PeerSelector {
    private static final long TICKS_PER_MS = 10;
    /** How long a peer that has shut down is not selected; after this time a new process usually runs in its place. */
    private static final long DEPARTURE_DURATION = 10_000 * TICKS_PER_MS;
    /**
     * Limit of random draws per peer wanted: enough to find them in most cases, and bounded when nearly all peers have
     * shut down.
     */
    private static final int DRAWS_PER_PEER = 8;

    private final int self;
    private final RandomGenerator random;
    private final long[] leftAt;

    /**
     * Creates a selector for which no peer has shut down.
     *
     * @param self the number of this gateway
     * @param gatewayCount the number of gateways
     */
    PeerSelector(int self, int gatewayCount, RandomGenerator random) {
        this.self = self;
        this.random = random;
        leftAt = new long[gatewayCount];
        Arrays.fill(leftAt, LoadReport.UNKNOWN_TIME);
    }

    /** Returns whether the number is that of another gateway. */
    boolean isPeer(int number) {
        return number >= 0 && number < leftAt.length && number != self;
    }

    /** Called when a peer has announced its shutdown. */
    void recordDeparture(long now, int peer) {
        leftAt[peer] = now;
    }

    /**
     * Called for any other datagram of a peer. It shows that the peer runs again, unless the datagram may have been
     * sent before the shutdown.
     */
    void recordContact(long now, int peer) {
        if (now - leftAt[peer] > GossipProtocol.MAX_TRANSIT_TIME) {
            leftAt[peer] = LoadReport.UNKNOWN_TIME;
        }
    }

    /**
     * Selects up to {@code count} distinct peers.
     *
     * @param excluded a peer that must not be selected, or {@link KnownServer#NO_PEER}
     */
    List<Integer> choose(long now, int count, int excluded) {
        List<Integer> chosen = new ArrayList<>();
        int peerCount = leftAt.length - 1;
        int wanted = Math.min(count, peerCount);
        for (int draws = 0; chosen.size() < wanted && draws < DRAWS_PER_PEER * count; draws++) {
            int drawn = random.nextInt(peerCount);
            int peer = drawn >= self ? drawn + 1 : drawn;
            if (peer != excluded && !chosen.contains(peer) && now - leftAt[peer] > DEPARTURE_DURATION) {
                chosen.add(peer);
            }
        }
        return chosen;
    }
}
