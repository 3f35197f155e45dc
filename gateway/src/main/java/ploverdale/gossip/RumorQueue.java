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
 * Rumor mongering (Demers et al., 1987, section 1.4). A change is a hot rumor for a fixed number of rounds; in each
 * round it is sent to a few random peers. Each gateway to which it is new forwards it in the same way. Times in tenths
 * of a millisecond.
 */
final class RumorQueue {
    private static final long TICKS_PER_MS = 10;
    /** Number of peers in a round; enough to reach nearly all gateways within a few hops. */
    private static final int FANOUT = 3;
    /** Number of rounds of a rumor; more than one because datagrams get lost. */
    private static final int ROUNDS = 2;
    /** Time between two rounds of a rumor. */
    private static final long ROUND_INTERVAL = 150 * TICKS_PER_MS;

    /** The state of a server's change that is being disseminated. */
    private static final class Rumor {
        private final int origin; // the peer that sent the change and so does not need it
        private int remainingRounds = ROUNDS;
        private long nextRoundAt;

        private Rumor(int origin, long now) {
            this.origin = origin;
            nextRoundAt = now;
        }
    }

    private final Map<KnownServer, Rumor> rumors = new LinkedHashMap<>();
    private final Function<ServerId, ServerObservation> ownObservations;
    private final PeerSelector peers;
    private final SendBudget budget;

    /** @param ownObservations returns this gateway's observation of a server */
    RumorQueue(Function<ServerId, ServerObservation> ownObservations, PeerSelector peers, SendBudget budget) {
        this.ownObservations = ownObservations;
        this.peers = peers;
        this.budget = budget;
    }

    /** Returns whether no rumor has rounds left. */
    boolean isEmpty() {
        return rumors.isEmpty();
    }

    /** Drops the rumor about a server that is no longer listed. */
    void remove(KnownServer server) {
        rumors.remove(server);
    }

    /**
     * Handles an observation that this gateway made or received. It becomes a rumor if it holds a significant change.
     *
     * @param origin the peer that sent the observation, or {@link KnownServer#NO_PEER}
     */
    void offer(long now, KnownServer server, ServerObservation observation, int origin) {
        if (observation.isSignificantChangeFrom(server.disseminated())) {
            rumors.put(server, new Rumor(origin, now));
        }
        server.addDisseminated(observation);
    }

    /**
     * Returns the packets of the next round for the rumors that are due and fit into one datagram and the send budget.
     */
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
        return GossipProtocol.toPackets(List.of(bytes), receivers);
    }

    /** Adds the observations that are due to the map, as many as fit into a datagram, and returns their servers. */
    private List<KnownServer> collectDue(long now, Map<Integer, ServerObservation> observations) {
        List<KnownServer> due = new ArrayList<>();
        rumors.forEach((server, rumor) -> {
            if (now >= rumor.nextRoundAt && observations.size() < DatagramCodec.MAX_OBSERVATIONS) {
                due.add(server);
                observations.put(ServerHash.of(server.id()), currentObservation(now, server));
            }
        });
        return due;
    }

    private ServerObservation currentObservation(long now, KnownServer server) {
        return ownObservations.apply(server.id()).join(server.disseminated()).withoutOutdated(now);
    }

    /** Returns the peer that sent all of these rumors, or {@link KnownServer#NO_PEER} if there is no such peer. */
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
