package ploverdale.gossip;

import ploverdale.model.ServerId;

/** A server of this gateway's endpoint list, with what gossip has said of it. */
final class KnownServer {
    /** Stands for the origin of what this gateway has observed itself. */
    static final int NO_PEER = -1;

    private final ServerId id;
    private ServerObservation disseminated = ServerObservation.NONE;
    private int rolePeer = NO_PEER;

    /** Nothing is known of the server yet. */
    KnownServer(ServerId id) {
        this.id = id;
    }

    /** The id by which the endpoint list names it. */
    ServerId id() {
        return id;
    }

    /** What the peers know already, since they have sent it or were sent it. */
    ServerObservation disseminated() {
        return disseminated;
    }

    /** The peers learn of an observation, or have sent it. */
    void addDisseminated(ServerObservation observation) {
        disseminated = disseminated.join(observation);
    }

    /** Positions cannot be dated any more. */
    void forgetPosition() {
        disseminated = disseminated.withoutPosition();
    }

    /** Remembers which peer a newer role has come from, to rate that peer when the role is confirmed or refuted. */
    void recordRolePeer(ServerObservation observation, int peer) {
        if (observation.isRoleNewerThan(disseminated)) {
            rolePeer = peer;
        }
    }

    /** The peer that the role has come from, which is then forgotten; {@link #NO_PEER} where there is none. */
    int takeRolePeer() {
        int peer = rolePeer;
        rolePeer = NO_PEER;
        return peer;
    }
}
