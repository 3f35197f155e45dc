package ploverdale.replication;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.BitSet;
import ploverdale.membership.Packet.Part;
import ploverdale.replication.ReplicationMessage.ClaimRequest;
import ploverdale.replication.ReplicationMessage.ClaimResponse;
import ploverdale.replication.ReplicationMessage.DigestRequest;
import ploverdale.replication.ReplicationMessage.DigestResponse;
import ploverdale.replication.ReplicationMessage.EntriesRequest;
import ploverdale.replication.ReplicationMessage.EntriesResponse;
import ploverdale.replication.ReplicationMessage.KeyedEntry;
import ploverdale.replication.ReplicationMessage.PositionRequest;
import ploverdale.replication.ReplicationMessage.PositionResponse;
import ploverdale.replication.ReplicationMessage.Response;
import ploverdale.replication.ReplicationMessage.WriteRequest;
import ploverdale.replication.ReplicationMessage.WriteResponse;

/**
 * Encodes one message as a part of a packet. Numbers are big-endian; a boolean is one byte, 0 or 1. A response begins
 * with the requester's incarnation (8 bytes) and the number of the request (4 bytes), a request with its number.
 */
final class ReplicationMessageEncoder implements ReplicationMessageHandler {
    private static final int MAX_BYTES = 512; // longer than any message, since a packet is shorter

    private final ByteBuffer content = ByteBuffer.allocate(MAX_BYTES);
    private ReplicationMessageKind kind;

    private ReplicationMessageEncoder() {}

    /** Returns the encoded message as a part of a packet. */
    static Part encode(ReplicationMessage message) {
        ReplicationMessageEncoder encoder = new ReplicationMessageEncoder();
        message.accept(encoder);
        byte[] bytes = Arrays.copyOf(encoder.content.array(), encoder.content.position());
        return new Part(encoder.kind.code(), bytes);
    }

    private void putResponseHeader(Response response) {
        content.putLong(response.requesterIncarnation()).putInt(response.number());
    }

    private void putBoolean(boolean value) {
        content.put((byte) (value ? 1 : 0));
    }

    @Override
    public void onWriteRequest(WriteRequest request) {
        kind = ReplicationMessageKind.WRITE_REQUEST;
        content.putInt(request.number()).putLong(request.key());
        request.entry().writeTo(content);
    }

    @Override
    public void onWriteResponse(WriteResponse response) {
        kind = ReplicationMessageKind.WRITE_RESPONSE;
        putResponseHeader(response);
    }

    @Override
    public void onPositionRequest(PositionRequest request) {
        kind = ReplicationMessageKind.POSITION_REQUEST;
        content.putInt(request.number()).putLong(request.key());
    }

    @Override
    public void onPositionResponse(PositionResponse response) {
        kind = ReplicationMessageKind.POSITION_RESPONSE;
        putResponseHeader(response);
        content.putLong(response.position()).putShort((short) response.server());
    }

    @Override
    public void onClaimRequest(ClaimRequest request) {
        kind = ReplicationMessageKind.CLAIM_REQUEST;
        content.putInt(request.number()).putLong(request.key());
        putBoolean(request.firstSubmission());
        request.outcome().writeTo(content);
    }

    @Override
    public void onClaimResponse(ClaimResponse response) {
        kind = ReplicationMessageKind.CLAIM_RESPONSE;
        putResponseHeader(response);
        putBoolean(response.granted());
        if (response.knownOutcome() != null) {
            response.knownOutcome().writeTo(content);
        }
    }

    @Override
    public void onDigestRequest(DigestRequest request) {
        kind = ReplicationMessageKind.DIGEST_REQUEST;
        KeySpaceNode node = request.node();
        content.putInt(request.number()).put((byte) node.level()).putShort((short) node.index());
        content.putInt(request.salt()).putLong(request.unexpiredAt());
        for (long digest : request.digests()) {
            content.putLong(digest);
        }
    }

    @Override
    public void onDigestResponse(DigestResponse response) {
        kind = ReplicationMessageKind.DIGEST_RESPONSE;
        putResponseHeader(response);
        content.putShort(childMask(response.differing())).putLong(response.missingUntil());
    }

    private static short childMask(BitSet children) {
        return children.isEmpty() ? 0 : (short) children.toLongArray()[0];
    }

    @Override
    public void onEntriesRequest(EntriesRequest request) {
        kind = ReplicationMessageKind.ENTRIES_REQUEST;
        content.putInt(request.number()).putShort((short) request.range());
        putBoolean(request.afterKey() != null);
        content.putLong(request.afterKey() == null ? 0 : request.afterKey());
    }

    @Override
    public void onEntriesResponse(EntriesResponse response) {
        kind = ReplicationMessageKind.ENTRIES_RESPONSE;
        putResponseHeader(response);
        putBoolean(response.hasMore());
        for (KeyedEntry keyed : response.entries()) {
            content.putLong(keyed.key());
            keyed.entry().writeTo(content);
        }
    }
}
