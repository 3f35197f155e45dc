package ploverdale.replication;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import ploverdale.replication.EntryStore.SharedEntries;
import ploverdale.replication.ReplicationMessage.DigestRequest;
import ploverdale.replication.ReplicationMessage.DigestResponse;
import ploverdale.replication.ReplicationMessage.EntriesRequest;
import ploverdale.replication.ReplicationMessage.EntriesResponse;
import ploverdale.replication.ReplicationMessage.KeyedEntry;

/**
 * Answers the requests of peers whose {@link AntiEntropy} compares their entries with those of this gateway. Keeps no
 * state between requests: each request contains everything that its response depends on. Not thread-safe: used on the
 * thread of {@link Replicas}.
 */
final class AntiEntropyResponder {
    /** Keeps a response within one packet; further entries follow in the responses to further requests. */
    private static final int MAX_RESPONSE_BYTES = 220;

    private static final int RESPONSE_HEADER_BYTES = Long.BYTES + Integer.BYTES + Byte.BYTES;

    private final int self;
    private final EntryStore store;
    private final KeySpaceDigests digests;

    /** @param self this gateway's number */
    AntiEntropyResponder(int self, EntryStore store, KeySpaceDigests digests) {
        this.self = self;
        this.store = store;
        this.digests = digests;
    }

    /**
     * Compares the digests of a node's children with those of a peer.
     *
     * @param missingUntil the Unix time up to which entries may be missing here, see {@link CompletenessBound#ofAll}
     * @return the children whose digests differ
     */
    DigestResponse answer(Peer peer, DigestRequest request, long missingUntil) {
        // Both sides use the requester's time, so that they leave out the same expired entries.
        long[] ownDigests = digests.ofChildren(request.node(), peer.gateway(), request.salt(), request.unexpiredAt());
        BitSet differing = new BitSet(KeySpaceNode.CHILDREN);
        for (int child = 0; child < ownDigests.length; child++) {
            differing.set(child, ownDigests[child] != request.digests()[child]);
        }
        return new DigestResponse(peer.incarnation(), request.number(), differing, missingUntil);
    }

    /**
     * Returns the next entries of a range that this gateway and a peer both replicate.
     *
     * @param unexpiredAt the Unix time at which entries must still be unexpired to be included
     */
    EntriesResponse answer(Peer peer, EntriesRequest request, long unexpiredAt) {
        Page page = new Page();
        SharedEntries selection = new SharedEntries(self, peer.gateway(), unexpiredAt);
        store.forEach(request.range(), request.afterKey(), selection, page::add);
        return new EntriesResponse(peer.incarnation(), request.number(), page.isFull, page.entries);
    }

    /** Collects the entries of one response: at least one, and as many as fit. */
    private static final class Page {
        private final List<KeyedEntry> entries = new ArrayList<>();
        private int bytes = RESPONSE_HEADER_BYTES;
        private boolean isFull;

        private void add(long key, VersionedEntry entry) {
            int entryBytes = Long.BYTES + entry.encodedLength();
            if (isFull || !entries.isEmpty() && bytes + entryBytes > MAX_RESPONSE_BYTES) {
                isFull = true;
                return;
            }
            entries.add(new KeyedEntry(key, entry));
            bytes += entryBytes;
        }
    }
}
