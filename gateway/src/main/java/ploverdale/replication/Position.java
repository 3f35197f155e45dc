package ploverdale.replication;

import java.nio.ByteBuffer;

/**
 * How far a session's reads must reach. Of two replicas' positions the later one wins: one too late costs a read at the
 * primary, one too early a read that is older than the session's last write.
 *
 * @param timestamp log position of the session's last write, a Unix time in tenths of a millisecond
 * @param server number of the server that executed it, by which a takeover since then shows
 */
record Position(long timestamp, int server) implements VersionedEntry {
    /** The server's number where none is known. */
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
