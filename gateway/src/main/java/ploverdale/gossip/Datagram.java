package ploverdale.gossip;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.CRC32C;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;

/**
 * One datagram of at most {@value #MOST} bytes: who it is for is known from outside, what it says is checked here. Each is
 * useful alone. Layout, big-endian: mark, version, kind, length of an entry, time of sending (Unix ms, 6 bytes), entries,
 * checksum of all before it (4 bytes). An entry: server's number (4), parts told (1), then ages in units of 10 ms (2 each)
 * and the position's age in ms (3); ages are rounded up, so that no word gets newer on its way. An older version's entry is
 * shorter and what it lacks is not known; a newer version's is longer and the rest of it is passed over. A datagram of
 * places holds only positions and roles, four bytes a server: half its number, and the position's age in ms with the role
 * in its highest bit; when each was learnt is not told, only that it was within a stated time before the sending.
 *
 * @param kind what it is for
 * @param sentAt by the sender's clock, in tenths of a millisecond
 * @param words by server number, at most {@link #ENTRIES_MOST}
 */
public record Datagram(Kind kind, long sentAt, Map<Integer, ServerObservation> words) {
    /** What a datagram is for. */
    public enum Kind {
        ASKS,
        TELLS,
        LEAVES,
        PLACES_UP,
        PLACES_ON,
        PLACES
    }

    /** Why one is not read. */
    public enum Refusal {
        TOO_LONG,
        TOO_SHORT,
        NOT_OURS,
        CHECKSUM,
        VERSION,
        MISSHAPEN
    }

    /** What came of reading: one of both is null. */
    public record Read(Datagram datagram, Refusal refusal) {}

    public static final int MOST = 256;
    private static final byte MARK = (byte) 0xB1;
    private static final int VERSION = 1;
    private static final int HEAD = 10;
    private static final int SENT_AT = 4; // offset of the time of sending
    private static final int CHECK = 4;
    private static final int ENTRY = 20;
    private static final int ENTRY_LEAST = 7; // number, parts, and the age of a role
    private static final int PLACE = 4;
    public static final int PLACES_MOST = (MOST - HEAD - CHECK) / PLACE;
    private static final int PLACE_AGE = 0x7FFF; // mask; the highest age stands for too old to tell
    public static final int ENTRIES_MOST = (MOST - HEAD - CHECK) / ENTRY;
    private static final long MS = 10;
    private static final long AGE_UNIT = 10 * MS;
    private static final int AGE_NONE = 0xFFFF;
    private static final int POSITION_AGE_NONE = 0xFFFFFF;
    private static final int ROLE_PARTS = 3; // mask

    /**
     * The number that stands for a server. It only finds a server that the reader was told of, so two instances need not
     * agree on a list. Numbers of ids that differ in no more than four neighbouring bytes never meet.
     */
    public static int number(ServerId server) {
        CRC32C crc = new CRC32C();
        crc.update(server.text().getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    /** The same in half the length, for places. */
    public static int shortNumber(ServerId server) {
        int n = number(server);
        return (n ^ n >>> 16) & 0xFFFF;
    }

    private static boolean isOfPlaces(Kind kind) {
        return kind.ordinal() >= Kind.PLACES_UP.ordinal();
    }

    /** Length in bytes of one with so many entries. */
    public static int length(int entries) {
        return HEAD + entries * ENTRY + CHECK;
    }

    public byte[] bytes() {
        if (isOfPlaces(kind)) {
            return places();
        }
        if (words.size() > ENTRIES_MOST) {
            throw new IllegalArgumentException(words.size() + " entries");
        }
        ByteBuffer b = ByteBuffer.allocate(length(words.size()));
        b.put(MARK).put((byte) VERSION).put((byte) kind.ordinal()).put((byte) ENTRY);
        long ms = Math.floorDiv(sentAt, MS);
        b.putShort((short) (ms >> 32)).putInt((int) ms);
        words.forEach((number, w) -> {
            b.putInt(number).put((byte) w.role().ordinal());
            age(b, w.roleAt());
            long old =
                    w.position() == LoadReport.UNKNOWN_TIME ? POSITION_AGE_NONE : ms - Math.floorDiv(w.position(), MS);
            int position = old < 0 || old >= POSITION_AGE_NONE ? POSITION_AGE_NONE : (int) old;
            b.put((byte) (position >> 16)).putShort((short) position);
            age(b, w.positionAt());
            age(b, w.aliveAt());
            age(b, w.silentAt());
            age(b, w.coldSince());
            age(b, w.drainAt());
        });
        CRC32C crc = new CRC32C();
        crc.update(b.array(), 0, b.position());
        return b.putInt((int) crc.getValue()).array();
    }

    private byte[] places() {
        if (words.size() > PLACES_MOST) {
            throw new IllegalArgumentException(words.size() + " places");
        }
        ByteBuffer b = ByteBuffer.allocate(HEAD + words.size() * PLACE + CHECK);
        long ms = Math.floorDiv(sentAt, MS);
        b.put(MARK).put((byte) VERSION).put((byte) kind.ordinal()).put((byte) PLACE);
        b.putShort((short) (ms >> 32)).putInt((int) ms);
        words.forEach((number, w) -> {
            long old = w.position() == LoadReport.UNKNOWN_TIME ? PLACE_AGE : ms - Math.floorDiv(w.position(), MS);
            int age = old >= PLACE_AGE ? PLACE_AGE : (int) Math.max(0, old);
            b.putShort((short) (int) number).putShort((short) (age | (w.role() == Role.PRIMARY ? PLACE_AGE + 1 : 0)));
        });
        CRC32C crc = new CRC32C();
        crc.update(b.array(), 0, b.position());
        return b.putInt((int) crc.getValue()).array();
    }

    private static ServerObservation place(int age, Kind kind, long sentAt) {
        boolean told = (age & PLACE_AGE) < PLACE_AGE;
        long learnt = sentAt - (kind == Kind.PLACES_UP ? PeerSelector.UP_WITHIN : PeerSelector.WITHIN);
        long at = told
                ? Math.max(learnt, sentAt - (age & PLACE_AGE) * MS)
                : learnt; // no position is learnt before it is so
        return new ServerObservation(
                (age & PLACE_AGE + 1) != 0 ? Role.PRIMARY : Role.REPLICA,
                at,
                told ? sentAt - (age & PLACE_AGE) * MS : LoadReport.UNKNOWN_TIME,
                told ? at : LoadReport.UNKNOWN_TIME,
                at,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME);
    }

    private void age(ByteBuffer b, long at) {
        long units = at == LoadReport.UNKNOWN_TIME
                ? AGE_NONE
                : Math.max(0, Math.floorDiv(sentAt - at + AGE_UNIT - 1, AGE_UNIT));
        b.putShort((short) Math.min(units, AGE_NONE));
    }

    /**
     * The same datagram with its time of sending moved, in tenths of a millisecond; as all other times in it are ages, they move
     * along. What is no sound datagram is returned as it is, for the reader to refuse.
     */
    public static byte[] redated(byte[] bytes, long by) {
        if (by == 0 || read(bytes).refusal() != null) {
            return bytes;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes.clone());
        long ms = ((b.getShort(SENT_AT) & 0xFFFFL) << 32 | b.getInt(SENT_AT + 2) & 0xFFFFFFFFL) + Math.floorDiv(by, MS);
        b.putShort(SENT_AT, (short) (ms >> 32)).putInt(SENT_AT + 2, (int) ms);
        CRC32C crc = new CRC32C();
        crc.update(b.array(), 0, bytes.length - CHECK);
        return b.putInt(bytes.length - CHECK, (int) crc.getValue()).array();
    }

    /** Reads what came; nothing is allocated by a length that is only told. */
    public static Read read(byte[] bytes) {
        if (bytes.length > MOST) {
            return new Read(null, Refusal.TOO_LONG);
        }
        if (bytes.length < HEAD + CHECK) {
            return new Read(null, Refusal.TOO_SHORT);
        }
        ByteBuffer b = ByteBuffer.wrap(bytes);
        if (b.get() != MARK) {
            return new Read(null, Refusal.NOT_OURS);
        }
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length - CHECK);
        if ((int) crc.getValue() != b.getInt(bytes.length - CHECK)) {
            return new Read(null, Refusal.CHECKSUM);
        }
        int version = b.get() & 0xFF;
        if (version == 0) {
            return new Read(null, Refusal.VERSION);
        }
        int kind = b.get() & 0xFF;
        int entry = b.get() & 0xFF;
        int room = bytes.length - HEAD - CHECK;
        boolean places = kind < Kind.values().length && isOfPlaces(Kind.values()[kind]);
        if (kind >= Kind.values().length || (places ? entry != PLACE : entry < ENTRY_LEAST) || room % entry != 0) {
            return new Read(null, Refusal.MISSHAPEN);
        }
        long sentAt = ((b.getShort() & 0xFFFFL) << 32 | b.getInt() & 0xFFFFFFFFL) * MS;
        Map<Integer, ServerObservation> words = new LinkedHashMap<>();
        for (int at = HEAD; at < HEAD + room; at += entry) {
            if (places) {
                words.merge(
                        b.getShort(at) & 0xFFFF,
                        place(b.getShort(at + 2) & 0xFFFF, Kind.values()[kind], sentAt),
                        ServerObservation::join);
                continue;
            }
            ServerObservation w = word(ByteBuffer.wrap(bytes, at + 4, entry - 4), sentAt);
            if (w == null) {
                return new Read(null, Refusal.MISSHAPEN);
            }
            words.merge(b.getInt(at), w, ServerObservation::join);
        }
        return new Read(new Datagram(Kind.values()[kind], sentAt, words), null);
    }

    private static ServerObservation word(ByteBuffer b, long sentAt) {
        int role = b.get() & ROLE_PARTS;
        if (role >= Role.values().length) {
            return null;
        }
        long roleAt = at(b, sentAt);
        long position = LoadReport.UNKNOWN_TIME;
        if (b.remaining() >= 3) {
            int old = (b.get() & 0xFF) << 16 | b.getShort() & 0xFFFF;
            position = old == POSITION_AGE_NONE ? LoadReport.UNKNOWN_TIME : sentAt - old * MS;
        }
        long positionAt = at(b, sentAt);
        long aliveAt = at(b, sentAt);
        long silentAt = at(b, sentAt);
        long coldSince = at(b, sentAt);
        long drainAt = at(b, sentAt);
        boolean led = role > 0 && roleAt != LoadReport.UNKNOWN_TIME;
        boolean placed = position != LoadReport.UNKNOWN_TIME && positionAt != LoadReport.UNKNOWN_TIME;
        return new ServerObservation(
                led ? Role.values()[role] : Role.UNKNOWN,
                led ? roleAt : LoadReport.UNKNOWN_TIME,
                placed ? position : LoadReport.UNKNOWN_TIME,
                placed ? positionAt : LoadReport.UNKNOWN_TIME,
                aliveAt,
                silentAt,
                coldSince,
                drainAt);
    }

    private static long at(ByteBuffer b, long sentAt) {
        int units = b.remaining() >= 2 ? b.getShort() & 0xFFFF : AGE_NONE;
        return units == AGE_NONE ? LoadReport.UNKNOWN_TIME : sentAt - units * AGE_UNIT;
    }
}
