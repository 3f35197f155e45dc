package ploverdale.replication;

import ploverdale.replication.EntryStore.SharedEntries;

/**
 * Computes digests of parts of the key space, over the entries that this gateway and a peer both replicate. Each
 * round uses another salt, so that different sets of entries whose digests collide in one round differ in the next.
 * Not thread-safe: used on the thread of {@link Replicas}.
 */
final class KeySpaceDigests {
    private final int self;
    private final EntryStore store;

    /** @param self this gateway's number */
    KeySpaceDigests(int self, EntryStore store) {
        this.self = self;
        this.store = store;
    }

    /**
     * Returns a digest of each child of an inner node.
     *
     * @param peer number of the peer
     * @param unexpiredAt the Unix time at which an entry must still be unexpired to be included
     */
    long[] ofChildren(KeySpaceNode node, int peer, int salt, long unexpiredAt) {
        SharedEntries selection = new SharedEntries(self, peer, unexpiredAt);
        long mixedSalt = Hashing.mix(salt);
        long[] digests = new long[KeySpaceNode.CHILDREN];
        for (int index = 0; index < digests.length; index++) {
            KeySpaceNode child = node.child(index);
            int firstRange = child.firstRange();
            digests[index] = store.digest(firstRange, firstRange + child.rangeCount(), selection, mixedSalt);
        }
        return digests;
    }
}
