package ploverdale.gossip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import ploverdale.model.LoadReport;

/** Draws random peers to send to, but for those that have announced that they leave. Times in tenths of a millisecond. */
final class PeerSelector {
    private static final long MS = 10;
    /** A peer that has left is not chosen for so long; by then another process is running in its place. */
    private static final long DEPARTURE_LASTS = 10_000 * MS;
    /** Random draws for each peer wanted; enough for nearly all peers, and bounded where nearly all have left. */
    private static final int DRAWS_PER_PEER = 8;

    private final int self;
    private final RandomGenerator random;
    private final long[] leftAt;

    /**
     * @param self the number of this gateway
     * @param size the number of gateways
     */
    PeerSelector(int self, int size, RandomGenerator random) {
        this.self = self;
        this.random = random;
        leftAt = new long[size];
        Arrays.fill(leftAt, LoadReport.UNKNOWN_TIME);
    }

    /** Whether this is the number of another gateway. */
    boolean isPeer(int number) {
        return number >= 0 && number < leftAt.length && number != self;
    }

    /** The peer has announced that it leaves. */
    void recordDeparture(long now, int peer) {
        leftAt[peer] = now;
    }

    /** Something else has arrived from the peer: it runs again, unless that was still under way when it left. */
    void recordContact(long now, int peer) {
        if (now - leftAt[peer] > GossipProtocol.MAX_TRANSIT_TIME) {
            leftAt[peer] = LoadReport.UNKNOWN_TIME;
        }
    }

    /**
     * Up to so many distinct peers.
     *
     * @param excluded a peer that is not to be chosen, or {@link KnownServer#NO_PEER}
     */
    List<Integer> choose(long now, int count, int excluded) {
        List<Integer> chosen = new ArrayList<>();
        int peers = leftAt.length - 1;
        int wanted = Math.min(count, peers);
        for (int draws = 0; chosen.size() < wanted && draws < DRAWS_PER_PEER * count; draws++) {
            int drawn = random.nextInt(peers);
            int peer = drawn >= self ? drawn + 1 : drawn;
            if (peer != excluded && !chosen.contains(peer) && now - leftAt[peer] > DEPARTURE_LASTS) {
                chosen.add(peer);
            }
        }
        return chosen;
    }
}
