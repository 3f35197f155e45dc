package ploverdale.replication;

import java.nio.ByteBuffer;

/**
 * How far a session's reads must reach. Of two copies the later position stands: to err on that side costs a read at the
 * primary, on the other a read older than an acked write.
 *
 * @param at the log position of the session's last write
 * @param server a number of the server that acked it, by which a takeover since then is seen
 */
public record Position(long at, int server) implements VersionedEntry {
    static final byte KIND = 1;
    private static final int LENGTH = 11;

    @Override
    public VersionedEntry join(VersionedEntry other) {
        return other instanceof Position p && (p.at > at || p.at == at && p.server > server) ? p : this;
    }

    @Override
    public long hash() {
        return VersionedEntry.mix(at * 31 + server);
    }

    @Override
    public void write(ByteBuffer to) {
        to.put(KIND).putLong(at).putShort((short) server);
    }

    @Override
    public int length() {
        return LENGTH;
    }

    static Position readContent(ByteBuffer from) {
        return from.remaining() < LENGTH - 1 ? null : new Position(from.getLong(), from.getShort() & 0xFFFF);
    }
}
