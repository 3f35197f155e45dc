package ploverdale.replication;

import java.nio.ByteBuffer;

/**
 * The log position that a session's reads must reach. Of the positions of two replicas the later one wins: a position
 * that is too late costs a read at the primary, one that is too early allows a read older than the session's last
 * write.
 *
 * @param timestamp log position of the session's last write, a Unix time in tenths of a millisecond
 * @param server number of the server that executed that write; a different current primary reveals a takeover since
 *     then
 */
record Position(long timestamp, int server) implements VersionedEntry {
    /** Stands for an unknown server. */
    static final int NO_SERVER = -1;

    @Override
    public VersionedEntry merge(VersionedEntry other) {
        return other instanceof Position position && position.isLaterThan(this) ? position : this;
    }

    private boolean isLaterThan(Position other) {
        return timestamp > other.timestamp || timestamp == other.timestamp && server > other.server;
    }

    @Override
    public long hash() {
        return Hashing.mix(timestamp * 31 + server);
    }

    @Override
    public long retention(ReplicationSettings settings) {
        return settings.sessionRetention();
    }

    @Override
    public boolean permitsClaim(ClaimId claim) {
        return false;
    }

    @Override
    public void writeTo(ByteBuffer buffer) {
        EntryCodec.write(this, buffer);
    }

    @Override
    public int encodedLength() {
        return EntryCodec.encodedLength(this);
    }
}
