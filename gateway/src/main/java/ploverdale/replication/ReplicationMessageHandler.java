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

/** Has a method for each type of {@link ReplicationMessage}, called by {@link ReplicationMessage#accept}. */
interface ReplicationMessageHandler {
    void onWriteRequest(WriteRequest request);

    void onWriteResponse(WriteResponse response);

    void onPositionRequest(PositionRequest request);

    void onPositionResponse(PositionResponse response);

    void onClaimRequest(ClaimRequest request);

    void onClaimResponse(ClaimResponse response);

    void onDigestRequest(DigestRequest request);

    void onDigestResponse(DigestResponse response);

    void onEntriesRequest(EntriesRequest request);

    void onEntriesResponse(EntriesResponse response);
}
