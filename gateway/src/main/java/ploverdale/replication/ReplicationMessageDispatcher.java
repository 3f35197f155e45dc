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
 * Passes one message of a peer to the class that handles it. Requests go to this gateway's replica or anti-entropy
 * responder, whose responses are sent back to the peer; responses go to the class that sent the request.
 *
 * @param turn in which the message is handled
 * @param peer the sender
 */
record ReplicationMessageDispatcher(
        Turn turn,
        Peer peer,
        LocalReplica localReplica,
        QuorumCoordinator coordinator,
        AntiEntropy antiEntropy,
        AntiEntropyResponder antiEntropyResponder,
        CompletenessBound bound)
        implements ReplicationMessageHandler {

    private void reply(ReplicationMessage.Response response) {
        turn.send(peer.gateway(), response);
    }

    @Override
    public void onWriteRequest(WriteRequest request) {
        reply(localReplica.answer(peer, request));
    }

    @Override
    public void onPositionRequest(PositionRequest request) {
        reply(localReplica.answer(peer, request));
    }

    @Override
    public void onClaimRequest(ClaimRequest request) {
        reply(localReplica.answer(peer, request));
    }

    @Override
    public void onWriteResponse(WriteResponse response) {
        coordinator.onWriteResponse(peer.gateway(), response);
    }

    @Override
    public void onPositionResponse(PositionResponse response) {
        coordinator.onPositionResponse(peer.gateway(), response);
    }

    @Override
    public void onClaimResponse(ClaimResponse response) {
        coordinator.onClaimResponse(peer.gateway(), response);
    }

    @Override
    public void onDigestRequest(DigestRequest request) {
        reply(antiEntropyResponder.answer(peer, request, bound.ofAll()));
    }

    @Override
    public void onEntriesRequest(EntriesRequest request) {
        reply(antiEntropyResponder.answer(peer, request, AntiEntropy.unexpiredAt(turn)));
    }

    @Override
    public void onDigestResponse(DigestResponse response) {
        antiEntropy.onDigestResponse(turn, peer, response);
    }

    @Override
    public void onEntriesResponse(EntriesResponse response) {
        antiEntropy.onEntriesResponse(turn, peer, response);
    }
}
