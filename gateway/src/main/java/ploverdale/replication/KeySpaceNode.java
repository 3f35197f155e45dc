package ploverdale.replication;

/**
 * A node of the tree over which anti-entropy compares the key space (a Merkle tree whose digests are computed on
 * demand). The root, at level 0, covers the whole key space; each inner node has {@value #CHILDREN} children; each
 * leaf covers one range of {@link EntryStore}.
 *
 * @param index position among the nodes of its level, in the order of keys
 */
record KeySpaceNode(int level, int index) {
    static final int CHILDREN = 16;
    static final int LEAF_LEVEL = 3;
    static final KeySpaceNode ROOT = new KeySpaceNode(0, 0);

    private static final int CHILD_BITS = 4;

    /** Whether this is an existing inner node; a node received from a peer may not exist in this tree. */
    boolean hasChildren() {
        return level >= 0 && level < LEAF_LEVEL && index < 1 << CHILD_BITS * level;
    }

    /** Whether the node covers exactly one range. */
    boolean isLeaf() {
        return level == LEAF_LEVEL;
    }

    /** Returns a child by its index between 0 and {@link #CHILDREN}, exclusive. */
    KeySpaceNode child(int child) {
        return new KeySpaceNode(level + 1, index * CHILDREN + child);
    }

    /** Returns the number of the first range that the node covers. */
    int firstRange() {
        return index * rangeCount();
    }

    /** Returns how many ranges the node covers. */
    int rangeCount() {
        return EntryStore.RANGES >> CHILD_BITS * level;
    }
}
