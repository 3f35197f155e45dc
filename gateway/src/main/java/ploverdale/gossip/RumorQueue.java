package ploverdale.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import ploverdale.gossip.Datagram.Kind;
import ploverdale.gossip.GossipProtocol.OutboundPacket;
import ploverdale.model.ServerId;

/**
 * Rumor mongering (Demers et al., 1987, section 1.4): a change is a hot rumor for a fixed number of rounds, each to a few
 * random peers, and everyone to whom it is new passes it on likewise. Times in tenths of a millisecond.
 */
final class RumorQueue {
    private static final long MS = 10;
    /** Peers in a round; with these nearly all gateways are reached in a few hops. */
    private static final int FANOUT = 3;
    /** Rounds of a rumor, since datagrams get lost. */
    private static final int ROUNDS = 2;

    private static final long ROUND_INTERVAL = 150 * MS;

    /** A server whose change is being passed on. */
    private static final class Rumor {
        private final int origin; // the peer that has sent it, which need not be sent it
        private int remainingRounds = ROUNDS;
        private long nextRoundAt;

        private Rumor(int origin, long now) {
            this.origin = origin;
            nextRoundAt = now;
        }
    }

    private final Map<KnownServer, Rumor> rumors = new LinkedHashMap<>();
    private final Function<ServerId, ServerObservation> own;
    private final PeerSelector peers;
    private final SendBudget budget;

    /** @param own this gateway's knowledge of a server */
    RumorQueue(Function<ServerId, ServerObservation> own, PeerSelector peers, SendBudget budget) {
        this.own = own;
        this.peers = peers;
        this.budget = budget;
    }

    /** Whether no rumor has rounds left. */
    boolean isEmpty() {
        return rumors.isEmpty();
    }

    /** The server is no longer listed. */
    void remove(KnownServer server) {
        rumors.remove(server);
    }

    /**
     * An observation was made here or has arrived; it becomes a rumor where it says something new.
     *
     * @param origin the peer that has sent it, or {@link KnownServer#NO_PEER}
     */
    void offer(long now, KnownServer server, ServerObservation observation, int origin) {
        if (observation.isSignificantChangeFrom(server.disseminated())) {
            rumors.put(server, new Rumor(origin, now));
        }
        server.addDisseminated(observation);
    }

    /** The next round of all rumors that are due, as far as they fit one datagram and the budget. */
    List<OutboundPacket> onTick(long now) {
        Map<Integer, ServerObservation> observations = new LinkedHashMap<>();
        List<KnownServer> due = collectDue(now, observations);
        int length = DatagramCodec.encodedLength(observations.size());
        int affordable = budget.affordable(length, FANOUT);
        if (due.isEmpty() || affordable <= 0) {
            return List.of();
        }
        List<Integer> receivers = peers.choose(now, affordable, commonOrigin(due));
        byte[] bytes = DatagramCodec.encode(new Datagram(Kind.OBSERVATIONS, now, observations));
        budget.spend(length * receivers.size());
        due.forEach(server -> endRound(now, server));
        return GossipProtocol.address(List.of(bytes), receivers);
    }

    /** Adds what is due to the observations, up to a datagram's worth, and returns the servers that they are about. */
    private List<KnownServer> collectDue(long now, Map<Integer, ServerObservation> observations) {
        List<KnownServer> due = new ArrayList<>();
        rumors.forEach((server, rumor) -> {
            if (now >= rumor.nextRoundAt && observations.size() < DatagramCodec.MAX_OBSERVATIONS) {
                due.add(server);
                observations.put(ServerHash.of(server.id()), current(now, server));
            }
        });
        return due;
    }

    private ServerObservation current(long now, KnownServer server) {
        return own.apply(server.id()).join(server.disseminated()).withoutOutdated(now);
    }

    /** The peer that all these rumors have come from, which then needs none of them. */
    private int commonOrigin(List<KnownServer> servers) {
        int origin = rumors.get(servers.get(0)).origin;
        boolean isCommon = servers.stream().allMatch(server -> rumors.get(server).origin == origin);
        return isCommon ? origin : KnownServer.NO_PEER;
    }

    private void endRound(long now, KnownServer server) {
        Rumor rumor = rumors.get(server);
        rumor.nextRoundAt = now + ROUND_INTERVAL;
        rumor.remainingRounds--;
        if (rumor.remainingRounds <= 0) {
            rumors.remove(server);
        }
    }
}
