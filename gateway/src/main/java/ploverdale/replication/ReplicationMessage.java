package ploverdale.replication;

import java.util.BitSet;
import java.util.List;

/**
 * A message between two gateways. A request has a number; its response repeats the number together with the
 * incarnation of the requester, so that a process that has restarted as the same gateway ignores it. Encoded by
 * {@link ReplicationMessageEncoder}, decoded by {@link ReplicationMessageDecoder}. Times are Unix times in tenths of
 * a millisecond.
 */
sealed interface ReplicationMessage {
    /** Calls the handler's method for this type of message. */
    void accept(ReplicationMessageHandler handler);

    /** A response to a request. */
    sealed interface Response extends ReplicationMessage {
        /** Returns the incarnation of the gateway that sent the request. */
        long requesterIncarnation();

        /** Returns the number of the request. */
        int number();
    }

    /** Requests that a replica merge an entry into the stored entry of its key. */
    record WriteRequest(int number, long key, VersionedEntry entry) implements ReplicationMessage {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onWriteRequest(this);
        }
    }

    /** Confirms that the entry was merged. */
    record WriteResponse(long requesterIncarnation, int number) implements Response {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onWriteResponse(this);
        }
    }

    /** Requests from a replica the position that reads of a session must reach. */
    record PositionRequest(int number, long key) implements ReplicationMessage {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onPositionRequest(this);
        }
    }

    /**
     * Returns the position that a replica requires.
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
     * Requests that a replica grant a claim to execute a write.
     *
     * @param firstSubmission whether the write is known to be submitted for the first time
     * @param outcome contains exactly one claim, the one to be granted, and the time at which the write arrived
     */
    record ClaimRequest(int number, long key, boolean firstSubmission, WriteOutcome outcome)
            implements ReplicationMessage {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onClaimRequest(this);
        }
    }

    /**
     * Says whether a replica has granted a claim.
     *
     * @param knownOutcome what the replica knows of the write, or null
     */
    record ClaimResponse(long requesterIncarnation, int number, boolean granted, WriteOutcome knownOutcome)
            implements Response {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onClaimResponse(this);
        }
    }

    /**
     * Requests from a peer which children of a node of the key space differ.
     *
     * @param salt of the digests
     * @param unexpiredAt the time at which an entry must still be unexpired to be included
     * @param digests the requester's digest of each child of the node
     */
    record DigestRequest(int number, KeySpaceNode node, int salt, long unexpiredAt, long[] digests)
            implements ReplicationMessage {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onDigestRequest(this);
        }
    }

    /**
     * Names the children of a node whose digests differ.
     *
     * @param differing indexes of the children
     * @param missingUntil up to when the responding peer may lack entries, see {@link CompletenessBound#ofAll}
     */
    record DigestResponse(long requesterIncarnation, int number, BitSet differing, long missingUntil)
            implements Response {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onDigestResponse(this);
        }
    }

    /**
     * Requests the entries of a range from a peer.
     *
     * @param range number of the range
     * @param afterKey the last key received of the range; null to start with its first entry
     */
    record EntriesRequest(int number, int range, Long afterKey) implements ReplicationMessage {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onEntriesRequest(this);
        }
    }

    /**
     * Contains entries of a range in the order of their keys.
     *
     * @param hasMore whether the range has further entries
     */
    record EntriesResponse(long requesterIncarnation, int number, boolean hasMore, List<KeyedEntry> entries)
            implements Response {
        @Override
        public void accept(ReplicationMessageHandler handler) {
            handler.onEntriesResponse(this);
        }
    }

    /** An entry and its key. */
    record KeyedEntry(long key, VersionedEntry entry) {}
}
