package ploverdale.gossip;

import ploverdale.model.ServerId;

/** A server of this gateway's endpoint list, with its state in the gossip protocol. */
final class KnownServer {
    /** Used in place of a peer number for observations that this gateway made itself. */
    static final int NO_PEER = -1;

    private final ServerId id;
    private ServerObservation disseminated = ServerObservation.NONE;
    private int rolePeer = NO_PEER;

    /** Creates a server of which nothing is known yet. */
    KnownServer(ServerId id) {
        this.id = id;
    }

    /** Returns the id of the server in the endpoint list. */
    ServerId id() {
        return id;
    }

    /**
     * Returns what has already been disseminated: the join of all observations that were sent to or received from
     * peers.
     */
    ServerObservation disseminated() {
        return disseminated;
    }

    /** Adds an observation that is sent to peers or was received from one. */
    void addDisseminated(ServerObservation observation) {
        disseminated = disseminated.join(observation);
    }

    /** Drops the position, since the clock that dates it was corrected. */
    void forgetPosition() {
        disseminated = disseminated.withoutPosition();
    }

    /**
     * Remembers the peer that sent a newer role, so that it can be rated when the server confirms or refutes the role.
     */
    void recordRolePeer(ServerObservation observation, int peer) {
        if (observation.isRoleNewerThan(disseminated)) {
            rolePeer = peer;
        }
    }

    /** Returns the peer that sent the role and forgets it; {@link #NO_PEER} if there is none. */
    int takeRolePeer() {
        int peer = rolePeer;
        rolePeer = NO_PEER;
        return peer;
    }
}
