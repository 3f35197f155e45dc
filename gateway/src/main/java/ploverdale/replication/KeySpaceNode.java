package ploverdale.replication;

/**
 * A node of the tree that anti-entropy descends (a Merkle tree whose digests are computed on demand). The root at level 0 is
 * the whole key space; each inner node has {@value #CHILDREN} children; a leaf is one range of {@link EntryStore}.
 *
 * @param index among the nodes of its level, in the order of keys
 */
record KeySpaceNode(int level, int index) {
    static final int CHILDREN = 16;
    static final int LEAF_LEVEL = 3;
    static final KeySpaceNode ROOT = new KeySpaceNode(0, 0);

    private static final int CHILD_BITS = 4;

    /** Whether it is an inner node that exists; as received from a peer it may be none. */
    boolean hasChildren() {
        return level >= 0 && level < LEAF_LEVEL && index < 1 << CHILD_BITS * level;
    }

    /** Whether it is one range. */
    boolean isLeaf() {
        return level == LEAF_LEVEL;
    }

    /** A child by its index, between 0 and {@link #CHILDREN}, exclusive. */
    KeySpaceNode child(int child) {
        return new KeySpaceNode(level + 1, index * CHILDREN + child);
    }

    /** The first of its ranges. */
    int firstRange() {
        return index * rangeCount();
    }

    /** Number of its ranges. */
    int rangeCount() {
        return EntryStore.RANGES >> CHILD_BITS * level;
    }
}
