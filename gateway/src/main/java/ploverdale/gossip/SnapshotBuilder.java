package ploverdale.gossip;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import ploverdale.gossip.Datagram.Kind;
import ploverdale.model.ServerId;

/**
 * Builds the datagrams with all that this gateway knows, for a peer that starts, or for some peers when this gateway
 * shuts down.
 */
final class SnapshotBuilder {
    /** Maximum number of servers in a snapshot; bounds the burst of datagrams that a request causes. */
    private static final int MAX_SERVERS = 60;

    private final ServerDirectory servers;
    private final Function<ServerId, ServerObservation> ownObservations;

    /** @param ownObservations returns this gateway's observation of a server */
    SnapshotBuilder(ServerDirectory servers, Function<ServerId, ServerObservation> ownObservations) {
        this.servers = servers;
        this.ownObservations = ownObservations;
    }

    /** Returns the encoded datagrams of the snapshot; none if nothing is known. */
    List<byte[]> build(long now, Kind kind) {
        List<byte[]> datagrams = new ArrayList<>();
        Map<Integer, ServerObservation> chunk = new LinkedHashMap<>();
        for (Map.Entry<Integer, ServerObservation> entry : collect(now).entrySet()) {
            chunk.put(entry.getKey(), entry.getValue());
            if (chunk.size() == DatagramCodec.MAX_OBSERVATIONS) {
                datagrams.add(DatagramCodec.encode(new Datagram(kind, now, chunk)));
                chunk.clear();
            }
        }
        if (!chunk.isEmpty()) {
            datagrams.add(DatagramCodec.encode(new Datagram(kind, now, chunk)));
        }
        return datagrams;
    }

    private Map<Integer, ServerObservation> collect(long now) {
        Map<Integer, ServerObservation> observations = new LinkedHashMap<>();
        for (KnownServer server : servers.all()) {
            ServerObservation observation = ownObservations.apply(server.id()).withoutOutdated(now);
            boolean isSent = !observation.equals(ServerObservation.NONE) && servers.isUnambiguous(server);
            if (isSent && observations.size() < MAX_SERVERS) {
                observations.put(ServerHash.of(server.id()), observation);
            }
        }
        return observations;
    }
}
