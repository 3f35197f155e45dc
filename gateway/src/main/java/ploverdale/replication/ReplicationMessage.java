package ploverdale.replication;

import java.util.BitSet;
import java.util.List;

/**
 * A message between two gateways. A request carries a number that its response repeats, together with the incarnation of
 * the requester, so that no response reaches a later process of that name. Encoded by {@link ReplicationMessageEncoder},
 * decoded by {@link ReplicationMessageDecoder}. Times are Unix times in tenths of a millisecond.
 */
sealed interface ReplicationMessage {
    /** Calls the handler's method for this type of message. */
    void accept(ReplicationMessageHandler handler);

    /** A message that answers a request. */
    sealed interface Response extends ReplicationMessage {
        /** Incarnation of the gateway that sent the request. */
        long requesterIncarnation();

        /** Number of the request that it answers. */
        int number();
    }

    /** Asks a replica to merge an entry into that of its key. */
    record WriteRequest(int number, long key, VersionedEntry entry) implements ReplicationMessage {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onWriteRequest(this);
        }
    }

    /** The entry was merged. */
    record WriteResponse(long requesterIncarnation, int number) implements Response {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onWriteResponse(this);
        }
    }

    /** Asks a replica for the position that reads of a session must reach. */
    record PositionRequest(int number, long key) implements ReplicationMessage {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onPositionRequest(this);
        }
    }

    /**
     * The position that a replica requires.
     *
     * @param server as of {@link Position#server}, or {@link Position#NO_SERVER}
     */
    record PositionResponse(long requesterIncarnation, int number, long position, int server) implements Response {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onPositionResponse(this);
        }
    }

    /**
     * Asks a replica to grant a claim to execute a write.
     *
     * @param firstSubmission whether the write is known to be submitted for the first time
     * @param outcome has exactly one claim, the one to be granted, and the time at which the write arrived
     */
    record ClaimRequest(int number, long key, boolean firstSubmission, WriteOutcome outcome)
            implements ReplicationMessage {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onClaimRequest(this);
        }
    }

    /**
     * Whether a replica grants a claim.
     *
     * @param known what it holds of the write; null where nothing
     */
    record ClaimResponse(long requesterIncarnation, int number, boolean granted, WriteOutcome known)
            implements Response {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onClaimResponse(this);
        }
    }

    /**
     * Asks a peer which children of a node of the key space differ.
     *
     * @param salt of the digests
     * @param unexpiredAt time at which entries must not be expired to be included
     * @param digests the requester's, one for each child of the node
     */
    record DigestRequest(int number, KeySpaceNode node, int salt, long unexpiredAt, long[] digests)
            implements ReplicationMessage {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onDigestRequest(this);
        }
    }

    /**
     * The children of a node whose digests differ.
     *
     * @param differing indexes of the children
     * @param missingUntil see {@link CompletenessBound#ofAll}, of the peer
     */
    record DigestResponse(long requesterIncarnation, int number, BitSet differing, long missingUntil)
            implements Response {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onDigestResponse(this);
        }
    }

    /**
     * Asks a peer for the entries of a range.
     *
     * @param range number of the range
     * @param afterKey the last key received of it, or null for its first entries
     */
    record EntriesRequest(int number, int range, Long afterKey) implements ReplicationMessage {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onEntriesRequest(this);
        }
    }

    /**
     * Entries of a range in the order of their keys.
     *
     * @param more whether the range has further ones
     */
    record EntriesResponse(long requesterIncarnation, int number, boolean more, List<KeyedEntry> entries)
            implements Response {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onEntriesResponse(this);
        }
    }

    /** An entry and its key. */
    record KeyedEntry(long key, VersionedEntry entry) {}
}
