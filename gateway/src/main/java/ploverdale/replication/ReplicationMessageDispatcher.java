package ploverdale.replication;

import ploverdale.replication.ReplicationMessage.ClaimRequest;
import ploverdale.replication.ReplicationMessage.ClaimResponse;
import ploverdale.replication.ReplicationMessage.DigestRequest;
import ploverdale.replication.ReplicationMessage.DigestResponse;
import ploverdale.replication.ReplicationMessage.EntriesRequest;
import ploverdale.replication.ReplicationMessage.EntriesResponse;
import ploverdale.replication.ReplicationMessage.PositionRequest;
import ploverdale.replication.ReplicationMessage.PositionResponse;
import ploverdale.replication.ReplicationMessage.WriteRequest;
import ploverdale.replication.ReplicationMessage.WriteResponse;

/**
 * Takes one message of a peer to the class that handles it: requests to the replica or the anti-entropy responder of this
 * gateway, whose answers it sends back; responses to whoever sent the request.
 *
 * @param turn in which the message is handled
 * @param peer the sender's number
 * @param peerIncarnation of the sender's process
 */
record ReplicationMessageDispatcher(
        Turn turn,
        int peer,
        long peerIncarnation,
        ReplicaHolder localReplica,
        QuorumCoordinator coordinator,
        AntiEntropy antiEntropy,
        AntiEntropyResponder antiEntropyResponder,
        CompletenessBound bound)
        implements ReplicationMessageHandler {

    @Override
    public void onWriteRequest(WriteRequest request) {
        turn.send(peer, localReplica.answer(peerIncarnation, request));
    }

    @Override
    public void onPositionRequest(PositionRequest request) {
        turn.send(peer, localReplica.answer(peerIncarnation, request));
    }

    @Override
    public void onClaimRequest(ClaimRequest request) {
        turn.send(peer, localReplica.answer(peerIncarnation, request));
    }

    @Override
    public void onWriteResponse(WriteResponse response) {
        coordinator.onWriteResponse(peer, response);
    }

    @Override
    public void onPositionResponse(PositionResponse response) {
        coordinator.onPositionResponse(peer, response);
    }

    @Override
    public void onClaimResponse(ClaimResponse response) {
        coordinator.onClaimResponse(peer, response);
    }

    @Override
    public void onDigestRequest(DigestRequest request) {
        turn.send(peer, antiEntropyResponder.answer(peer, peerIncarnation, request, bound.ofAll()));
    }

    @Override
    public void onEntriesRequest(EntriesRequest request) {
        long unexpiredAt = AntiEntropy.unexpiredAt(turn);
        turn.send(peer, antiEntropyResponder.answer(peer, peerIncarnation, request, unexpiredAt));
    }

    @Override
    public void onDigestResponse(DigestResponse response) {
        antiEntropy.onDigestResponse(turn, peer, peerIncarnation, response);
    }

    @Override
    public void onEntriesResponse(EntriesResponse response) {
        antiEntropy.onEntriesResponse(turn, peer, peerIncarnation, response);
    }
}
