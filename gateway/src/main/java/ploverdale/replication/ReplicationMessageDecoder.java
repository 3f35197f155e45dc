package ploverdale.replication;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
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
import ploverdale.replication.ReplicationMessage.WriteRequest;
import ploverdale.replication.ReplicationMessage.WriteResponse;

/**
 * Decodes parts of packets; {@link ReplicationMessageEncoder} describes the format. Ignores bytes that a later
 * version may have appended to a message, and rejects messages that are truncated or whose content this version does
 * not know. Stateless.
 */
final class ReplicationMessageDecoder {
    private static final int REQUEST_HEADER_BYTES = Integer.BYTES + Long.BYTES;
    private static final int RESPONSE_HEADER_BYTES = Long.BYTES + Integer.BYTES;
    private static final int POSITION_RESPONSE_BYTES = RESPONSE_HEADER_BYTES + Long.BYTES + Short.BYTES;
    private static final int CLAIM_RESPONSE_BYTES = RESPONSE_HEADER_BYTES + Byte.BYTES;
    private static final int DIGEST_REQUEST_BYTES =
            2 * Integer.BYTES + Byte.BYTES + Short.BYTES + Long.BYTES + KeySpaceNode.CHILDREN * Long.BYTES;
    private static final int DIGEST_RESPONSE_BYTES = RESPONSE_HEADER_BYTES + Short.BYTES + Long.BYTES;
    private static final int ENTRIES_REQUEST_BYTES = Integer.BYTES + Short.BYTES + Byte.BYTES + Long.BYTES;
    private static final int ENTRIES_RESPONSE_BYTES = RESPONSE_HEADER_BYTES + Byte.BYTES;

    private ReplicationMessageDecoder() {}

    /** Returns the message in a part; null if this version cannot read it or it is not a replication message. */
    static ReplicationMessage decode(Part part) {
        ReplicationMessageKind kind = ReplicationMessageKind.of(part.kind());
        if (kind == null || part.content().length < minimumBytes(kind)) {
            return null;
        }
        ByteBuffer content = ByteBuffer.wrap(part.content());
        return switch (kind) {
            case WRITE_REQUEST -> readWriteRequest(content);
            case WRITE_RESPONSE -> new WriteResponse(content.getLong(), content.getInt());
            case POSITION_REQUEST -> new PositionRequest(content.getInt(), content.getLong());
            case POSITION_RESPONSE ->
                new PositionResponse(content.getLong(), content.getInt(), content.getLong(), content.getShort());
            case CLAIM_REQUEST -> readClaimRequest(content);
            case CLAIM_RESPONSE -> readClaimResponse(content);
            case DIGEST_REQUEST -> readDigestRequest(content);
            case DIGEST_RESPONSE -> readDigestResponse(content);
            case ENTRIES_REQUEST -> readEntriesRequest(content);
            case ENTRIES_RESPONSE -> readEntriesResponse(content);
        };
    }

    private static int minimumBytes(ReplicationMessageKind kind) {
        return switch (kind) {
            case WRITE_REQUEST, POSITION_REQUEST, CLAIM_REQUEST -> REQUEST_HEADER_BYTES;
            case WRITE_RESPONSE -> RESPONSE_HEADER_BYTES;
            case POSITION_RESPONSE -> POSITION_RESPONSE_BYTES;
            case CLAIM_RESPONSE -> CLAIM_RESPONSE_BYTES;
            case DIGEST_REQUEST -> DIGEST_REQUEST_BYTES;
            case DIGEST_RESPONSE -> DIGEST_RESPONSE_BYTES;
            case ENTRIES_REQUEST -> ENTRIES_REQUEST_BYTES;
            case ENTRIES_RESPONSE -> ENTRIES_RESPONSE_BYTES;
        };
    }

    private static WriteRequest readWriteRequest(ByteBuffer content) {
        int number = content.getInt();
        long key = content.getLong();
        VersionedEntry entry = EntryCodec.read(content);
        return entry == null ? null : new WriteRequest(number, key, entry);
    }

    private static ClaimRequest readClaimRequest(ByteBuffer content) {
        int number = content.getInt();
        long key = content.getLong();
        boolean firstSubmission = content.hasRemaining() && content.get() != 0;
        if (EntryCodec.read(content) instanceof WriteOutcome outcome
                && outcome.claims().size() == 1) {
            return new ClaimRequest(number, key, firstSubmission, outcome);
        }
        return null;
    }

    private static ClaimResponse readClaimResponse(ByteBuffer content) {
        long requesterIncarnation = content.getLong();
        int number = content.getInt();
        boolean granted = content.get() != 0;
        WriteOutcome knownOutcome = EntryCodec.read(content) instanceof WriteOutcome outcome ? outcome : null;
        return new ClaimResponse(requesterIncarnation, number, granted, knownOutcome);
    }

    private static DigestRequest readDigestRequest(ByteBuffer content) {
        int number = content.getInt();
        KeySpaceNode node = new KeySpaceNode(content.get(), Short.toUnsignedInt(content.getShort()));
        int salt = content.getInt();
        long unexpiredAt = content.getLong();
        long[] digests = new long[KeySpaceNode.CHILDREN];
        content.asLongBuffer().get(digests);
        return node.hasChildren() ? new DigestRequest(number, node, salt, unexpiredAt, digests) : null;
    }

    private static DigestResponse readDigestResponse(ByteBuffer content) {
        long requesterIncarnation = content.getLong();
        int number = content.getInt();
        BitSet differing = BitSet.valueOf(new long[] {Short.toUnsignedLong(content.getShort())});
        return new DigestResponse(requesterIncarnation, number, differing, content.getLong());
    }

    private static EntriesRequest readEntriesRequest(ByteBuffer content) {
        int number = content.getInt();
        int range = Short.toUnsignedInt(content.getShort());
        boolean hasAfterKey = content.get() != 0;
        long afterKey = content.getLong();
        if (range >= EntryStore.RANGES) {
            return null;
        }
        return new EntriesRequest(number, range, hasAfterKey ? (Long) afterKey : null);
    }

    private static EntriesResponse readEntriesResponse(ByteBuffer content) {
        long requesterIncarnation = content.getLong();
        int number = content.getInt();
        boolean hasMore = content.get() != 0;
        return new EntriesResponse(requesterIncarnation, number, hasMore, readKeyedEntries(content));
    }

    /** Reads entries up to the first one that cannot be read, since the length of that one is unknown. */
    private static List<KeyedEntry> readKeyedEntries(ByteBuffer content) {
        List<KeyedEntry> entries = new ArrayList<>();
        while (content.remaining() > Long.BYTES) {
            long key = content.getLong();
            VersionedEntry entry = EntryCodec.read(content);
            if (entry == null) {
                break;
            }
            entries.add(new KeyedEntry(key, entry));
        }
        return entries;
    }
}
