package ploverdale.replica;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import ploverdale.fleet.Packing;
import ploverdale.fleet.Parcel.Part;

/**
 * What one gateway keeps for the fleet and asks of it. Facts are copied to the keepers of their key; whoever needs one asks
 * them all, and a majority of answers tells it. A keeper's answer about a session is a position that reads must reach: the
 * latest copy that it has, and no less than the time up to which it cannot vouch that it has all copies. So a keeper that
 * started with nothing never turns a past into none, and all of them together lose no promise, only some reads to the
 * primary until replicas are past their start. Messages may be lost, come twice, late or out of order. {@code now} is in tenths of a
 * millisecond of a clock that never steps; positions and ends of facts are Unix times in the same unit.
 */
public final class Replicas {
    /** How a question or a copy ended. */
    public enum End {
        /** A session's reads must reach the position told. */
        KNOWN,
        /** No majority of keepers has answered in time. */
        UNKNOWN,
        /** A majority of keepers has a copy. */
        COPIED,
        /** The write is this gateway's to send, under the claim told. */
        GRANTED,
        /** It ran before; the answer may be known. */
        RAN,
        /** Another claim may still run, or may have. */
        IN_DOUBT
    }

    /** The end of what a ticket stands for. */
    public record Done(long ticket, End end, long position, int server, Claim claim, byte[] answer) {}

    public static final int COPIES = 32;
    public static final int COPIED = 33;
    public static final int ASKS = 34;
    public static final int TELLS = 35;
    public static final int CLAIMS = 36;
    public static final int CLAIMED = 37;

    private static final long MS = 10;
    private static final long AGAIN = 15 * MS; // what has no answer yet is sent again, then after twice as long
    private static final long COPY_LASTS = 1000 * MS; // of sending one that nobody waits for; walks bring the rest
    private static final int ASKED_MOST = 20_000; // at a time; one more is unknown at once
    private static final byte[] NONE = {};

    private enum Kind { COPY, ASK, CLAIM }

    /** A question or a copy that is out. */
    private static final class Out {
        private final long ticket;
        private final Kind kind;
        private final long key;
        private final long keepers;
        private final long until;
        private final boolean waits;
        private Held fact;
        private Claim claim;
        private boolean first;
        private long againAt;
        private long againAfter = AGAIN;
        private int answered; // a bit a place of the keepers
        private int granted;
        private boolean over; // for the one who waits
        private long position = Long.MIN_VALUE / 2;
        private int server = -1;

        private Out(long ticket, Kind kind, long key, long keepers, long until, boolean waits) {
            this.ticket = ticket;
            this.kind = kind;
            this.key = key;
            this.keepers = keepers;
            this.until = until;
            this.waits = waits;
        }
    }

    private final int me;
    private final Keeping keeping;
    private final LongSupplier wall;
    private final Keepers keepers;
    private final Store store;
    private final CatchUp catchUp;
    private long startedAt; // Unix time; what was copied to an earlier start of this name is lost
    private final Map<Integer, Out> out = new LinkedHashMap<>(); // by number, oldest first
    private final List<Done> done = new ArrayList<>();
    private final List<Out> givenUp = new ArrayList<>();
    private final List<String> lines = new ArrayList<>();
    private long start;
    private int numbers;
    private long tickets;
    private long asked;
    private long unknown;
    private long alarms;

    /**
     * @param start which start of its name this is
     * @param wall Unix time, in tenths of a millisecond
     */
    public Replicas(int me, int gateways, long start, Keeping keeping, RandomGenerator chance, LongSupplier wall) {
        this.me = me;
        this.start = start;
        this.keeping = keeping;
        this.wall = wall;
        startedAt = wall.getAsLong() + keeping.clocksApart();
        keepers = new Keepers(gateways, keeping.copies());
        store = new Store(keeping.most(), keepers::of, (fact, at) -> fact.at() + lasts(fact) < at);
        catchUp = new CatchUp(me, gateways, store, keepers, chance);
        lines.add("replicas: " + keepers.copies() + " copies among " + gateways + " gateways, "
                + (keeping.sessions() ? "sessions for " + keeping.sessionsFor() / MS + " ms" : "no sessions") + ", "
                + (keeping.submits() ? "submits for " + keeping.submitsFor() / MS + " ms" : "no submits")
                + (gateways > 1 ? ", catching up" : ""));
    }

    private long lasts(Held fact) {
        return fact instanceof Fate ? keeping.submitsFor() + keeping.clocksApart() : keeping.sessionsFor();
    }

    /** The key of a session or of a write's id; no two meet but by the chance of 64 bits, which clients cannot choose. */
    public static long key(boolean session, String text) {
        try {
            MessageDigest d = MessageDigest.getInstance("SHA-256");
            d.update((byte) (session ? 's' : 'w'));
            return ByteBuffer.wrap(d.digest(text.getBytes(StandardCharsets.UTF_8))).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // each Java has it
        }
    }

    /** The Unix clock was off: what came until now cannot be vouched for. */
    public void startsAnew() {
        startedAt = wall.getAsLong() + keeping.clocksApart();
    }

    /** Which start of its name this gateway speaks as from now on. */
    public void speaksAs(long start) {
        this.start = start;
    }

    // -- What a keeper can vouch for

    /** Up to when there may have been copies for this key that are not here: before the start, or forgotten for want of room. */
    private long blank(long word) {
        long missed = keepers.copies() == 1 ? startedAt : Long.MIN_VALUE / 2; // a lone keeper has nobody to catch up with
        for (int place = 0; place < keepers.copies(); place++) {
            missed = Math.max(missed, catchUp.blankOf(Keepers.one(word, place)));
        }
        return Math.max(store.blank(), Math.min(startedAt, missed));
    }

    /** The same for any key, as another gateway is told that takes copies from here. */
    private long blankOfAll() {
        return Math.max(store.blank(), keepers.copies() == 1 ? startedAt : Math.min(startedAt, catchUp.blankOfAll()));
    }

    private long mustReach(long key, long word) {
        long least = Math.max(blank(word), wall.getAsLong() - keeping.sessionsFor() - keeping.clocksApart());
        return store.of(key) instanceof Position p ? Math.max(p.at(), least) : least;
    }

    private boolean vouchesForSubmits(long word) {
        return blank(word) + keeping.submitsFor() + keeping.clocksApart() < wall.getAsLong();
    }

    // -- What this gateway needs

    /**
     * A session's write was acked at that position by a server of that number. Where somebody waits, the ticket ends as copied
     * or unknown; else it is 0.
     */
    public long wrote(long now, long key, long position, int server, long within, boolean waits, Packing to) {
        // Guards against a position told wrongly, in a time to come: it would bind reads for ever.
        long told = Math.min(position, wall.getAsLong() + keeping.clocksApart());
        return copies(now, key, new Position(told, server & 0xFFFF), within, waits, to);
    }

    /** What is proven of a claim that was granted here; where nothing is, the doubt stays. Tickets as above. */
    public long became(long now, long key, Claim claim, int proof, byte[] answer, long within, boolean waits, Packing to) {
        Held was = store.of(key);
        long at = was instanceof Fate f ? f.at() : wall.getAsLong();
        return copies(now, key, Fate.of(at, claim, proof, answer), within, waits, to);
    }

    private long copies(long now, long key, Held fact, long within, boolean waits, Packing to) {
        long word = keepers.of(key);
        Out o = new Out(++tickets, Kind.COPY, key, word, now + (waits ? within : COPY_LASTS), waits);
        o.fact = fact;
        joins(key, fact); // also where it is none of its keepers: it may be asked here again
        begins(now, o, to);
        return waits ? o.ticket : 0;
    }

    /** Asks how far a session's reads must reach; the ticket ends as known or unknown. */
    public long asks(long now, long key, Packing to) {
        Out o = new Out(++tickets, Kind.ASK, key, keepers.of(key), now + keeping.askWithin(), true);
        asked++;
        if (store.of(key) instanceof Position p) {
            o.position = p.at();
            o.server = p.server();
        }
        begins(now, o, to);
        return o.ticket;
    }

    /**
     * Claims to send a write under an id; the ticket ends as granted, or as what is known of an earlier claim.
     *
     * @param first whether its client has marked it as none that it submits again
     * @param arrivedAt when it came here, Unix time
     */
    public long claims(long now, long key, boolean first, long arrivedAt, Packing to) {
        Out o = new Out(++tickets, Kind.CLAIM, key, keepers.of(key), now + keeping.askWithin(), true);
        o.claim = new Claim(me, start, ++numbers);
        o.first = first && keeping.retriesMarked();
        o.fact = Fate.of(arrivedAt, o.claim, Fate.MADE, NONE);
        asked++;
        begins(now, o, to);
        return o.ticket;
    }

    private void begins(long now, Out o, Packing to) {
        int number = ++numbers;
        if (out.size() >= ASKED_MOST) {
            ends(o, End.UNKNOWN);
            return;
        }
        out.put(number, o);
        o.againAt = now + o.againAfter;
        for (int place = 0; place < keepers.copies(); place++) {
            if (Keepers.one(o.keepers, place) == me) {
                answersItself(o, place);
            }
        }
        sends(number, o, to);
        if (o.answered == all()) {
            out.remove(number);
        }
    }

    private int all() {
        return (1 << keepers.copies()) - 1;
    }

    private void answersItself(Out o, int place) {
        switch (o.kind) {
            case COPY -> answers(o, place);
            case ASK -> told(o, place, mustReach(o.key, o.keepers), store.of(o.key) instanceof Position p ? p.server() : -1);
            case CLAIM -> {
                boolean granted = grants(o.key, o.claim, o.first, (Fate) o.fact);
                claimed(o, place, granted, store.of(o.key) instanceof Fate f ? f : null);
            }
            default -> throw new IllegalStateException();
        }
    }

    /** To all keepers that have not answered yet. */
    private void sends(int number, Out o, Packing to) {
        for (int place = 0; place < keepers.copies(); place++) {
            int keeper = Keepers.one(o.keepers, place);
            if (keeper != me && (o.answered >> place & 1) == 0) {
                ByteBuffer b = ByteBuffer.allocate(14 + Held.MOST).putInt(number).putLong(o.key);
                if (o.kind == Kind.COPY) {
                    o.fact.write(b);
                } else if (o.kind == Kind.CLAIM) {
                    b.put((byte) (o.first ? 1 : 0));
                    o.fact.write(b);
                }
                int kind = o.kind == Kind.COPY ? COPIES : o.kind == Kind.ASK ? ASKS : CLAIMS;
                to.add(keeper, new Part(kind, java.util.Arrays.copyOf(b.array(), b.position())));
            }
        }
    }

    private void ends(Out o, End end) {
        if (o.over) {
            return;
        }
        o.over = true;
        unknown += end == End.UNKNOWN && o.kind == Kind.ASK ? 1 : 0;
        if (o.waits) {
            Fate f = store.of(o.key) instanceof Fate x ? x : null;
            done.add(new Done(o.ticket, end, o.position, o.server, o.claim, f == null ? NONE : f.answer()));
        }
    }

    /** What has ended since the last call. */
    public List<Done> done() {
        List<Done> all = List.copyOf(done);
        done.clear();
        return all;
    }

    private void answers(Out o, int place) {
        o.answered |= 1 << place;
        if (Integer.bitCount(o.answered) >= keepers.majority()) {
            ends(o, End.COPIED);
        }
    }

    private void told(Out o, int place, long position, int server) {
        if ((o.answered >> place & 1) != 0) {
            return;
        }
        o.answered |= 1 << place;
        o.server = position > o.position ? server : o.server;
        o.position = Math.max(o.position, position);
        if (Integer.bitCount(o.answered) >= keepers.majority()) {
            ends(o, End.KNOWN);
        }
    }

    /** A claim is granted by a majority, or by none: then it is given up, and says so, since nothing was sent for it. */
    private void claimed(Out o, int place, boolean grants, Fate known) {
        if ((o.answered >> place & 1) != 0) {
            return;
        }
        o.answered |= 1 << place;
        o.granted += grants ? 1 : 0;
        if (known != null) {
            joins(o.key, known);
        }
        Held now = store.of(o.key);
        int left = keepers.copies() - Integer.bitCount(o.answered);
        if (o.granted >= keepers.majority()) {
            ends(o, End.GRANTED);
        } else if (now instanceof Fate f && f.acked()) {
            ends(o, End.RAN);
        } else if (o.granted + left < keepers.majority()) {
            ends(o, End.IN_DOUBT);
        }
        if (o.over && o.granted > 0 && o.granted < keepers.majority() && o.answered == all()) {
            givenUp.add(o);
        }
    }

    /** Who granted a claim that is given up hears that nothing was and will be sent for it. */
    private void givesUp(long now, Packing to) {
        for (Out o : givenUp) {
            became(now, o.key, o.claim, Fate.NEVER_RAN, NONE, 0, false, to);
        }
        givenUp.clear();
    }

    private void joins(long key, Held fact) {
        boolean before = store.of(key) instanceof Fate f && f.alarm();
        store.join(wall.getAsLong(), key, fact);
        if (!before && store.of(key) instanceof Fate f && f.alarm()) {
            alarms++;
            lines.add("replicas alarm: two proofs contradict one another, key " + Long.toHexString(key) + ", " + f);
        }
    }

    // -- What this gateway keeps

    private boolean grants(long key, Claim claim, boolean first, Fate asked) {
        // An earlier submit may have been known here; of a first one, a later submit that overtook it, as where its gateway
        // stood still meanwhile. What is held says nothing of that: it may be of a claim that was refused.
        long word = keepers.of(key);
        boolean mayKnowAll = first && asked.at() > blank(word) || vouchesForSubmits(word);
        Held was = store.of(key);
        // Guards against a claim that others' copies brought here: only those granted here count for its majority.
        boolean free = was == null || was instanceof Fate f && f.isFreeBut(claim) && f.hasRoom(claim);
        if (!mayKnowAll || !free) {
            return false;
        }
        joins(key, asked);
        return store.of(key) instanceof Fate;
    }

    /** A part has come in a parcel of another gateway. */
    public void part(long now, int from, long itsStart, Part part, Packing to) {
        ByteBuffer b = ByteBuffer.wrap(part.content());
        switch (part.kind()) {
            case COPIES, ASKS, CLAIMS -> {
                if (b.remaining() >= 12) {
                    keeps(from, itsStart, part.kind(), b, to);
                }
            }
            case COPIED, TELLS, CLAIMED -> {
                if (b.remaining() >= 12 && b.getLong() == start) { // not meant for an earlier start of this gateway
                    answered(from, part.kind(), b);
                }
            }
            case CatchUp.DIFFERS, CatchUp.ENTRIES -> {
                if (b.remaining() >= 12 && b.getLong() == start) {
                    catchUp.part(now, wall.getAsLong(), from, itsStart, part.kind(), b, itsStart, 0, to);
                }
            }
            default -> catchUp.part(now, wall.getAsLong(), from, itsStart, part.kind(), b, itsStart, blankOfAll(), to);
        }
        told();
    }

    private void keeps(int from, long itsStart, int kind, ByteBuffer b, Packing to) {
        int number = b.getInt();
        long key = b.getLong();
        ByteBuffer answer = ByteBuffer.allocate(24 + Held.MOST).putLong(itsStart).putInt(number);
        if (kind == ASKS) {
            long word = keepers.of(key);
            answer.putLong(mustReach(key, word)).putShort((short) (store.of(key) instanceof Position p ? p.server() : -1));
            to.add(from, new Part(TELLS, java.util.Arrays.copyOf(answer.array(), answer.position())));
            return;
        }
        boolean first = kind == CLAIMS && b.remaining() > 0 && b.get() != 0;
        Held fact = Held.read(b);
        if (fact == null) {
            return; // of a kind that this version does not know: it keeps no copy, and says nothing
        }
        if (kind == COPIES) {
            joins(key, fact);
            to.add(from, new Part(COPIED, java.util.Arrays.copyOf(answer.array(), answer.position())));
        } else if (fact instanceof Fate f && f.claims().size() == 1) {
            answer.put((byte) (grants(key, f.claims().keySet().iterator().next(), first, f) ? 1 : 0));
            if (store.of(key) instanceof Fate is) {
                is.write(answer);
            }
            to.add(from, new Part(CLAIMED, java.util.Arrays.copyOf(answer.array(), answer.position())));
        }
    }

    private void answered(int from, int kind, ByteBuffer b) {
        int number = b.getInt();
        Out o = out.get(number);
        int place = -1;
        for (int p = 0; o != null && p < keepers.copies(); p++) {
            place = Keepers.one(o.keepers, p) == from ? p : place;
        }
        if (place < 0 || kind != (o.kind == Kind.COPY ? COPIED : o.kind == Kind.ASK ? TELLS : CLAIMED)) {
            return; // comes too late, or twice
        }
        if (kind == COPIED) {
            answers(o, place);
        } else if (kind == TELLS && b.remaining() >= 10) {
            told(o, place, b.getLong(), b.getShort());
        } else if (kind == CLAIMED && b.remaining() >= 1) {
            boolean grants = b.get() != 0;
            claimed(o, place, grants, Held.read(b) instanceof Fate f ? f : null);
        }
        if (o.answered == all() || o.over && o.kind == Kind.ASK) {
            out.remove(number);
        }
    }

    /** What is due by now. */
    public void due(long now, IntPredicate present, Packing to) {
        out.entrySet().removeIf(e -> {
            Out o = e.getValue();
            if (now >= o.until) {
                ends(o, o.kind == Kind.CLAIM ? End.IN_DOUBT : End.UNKNOWN);
                if (o.kind == Kind.CLAIM && o.granted < keepers.majority()) {
                    givenUp.add(o); // some may have granted it whose answer is lost
                }
                return true;
            }
            if (now >= o.againAt && !(o.over && o.kind != Kind.COPY)) {
                o.againAfter *= 2;
                o.againAt = now + o.againAfter;
                sends(e.getKey(), o, to);
            }
            return false;
        });
        givesUp(now, to);
        store.sweep(wall.getAsLong());
        catchUp.due(now, wall.getAsLong(), present, to);
        told();
    }

    private void told() {
        String line = catchUp.line();
        if (line != null) {
            lines.add(line);
        }
    }

    /** What is to be logged since the last call; each begins with its kind and a colon. */
    public List<String> lines() {
        List<String> all = List.copyOf(lines);
        lines.clear();
        return all;
    }

    /** A line of all figures. */
    public String figures() {
        return "replicas: holds " + store.size() + " facts, " + store.evicted() + " forgotten for want of room, " + asked
                + " asked, " + unknown + " of them unknown, " + catchUp.taken() + " taken from others, " + alarms + " alarms";
    }

    /** Facts held here. */
    public int size() {
        return store.size();
    }

    /** Stands for all facts that this gateway and another both keep and that last beyond a moment; equal at both where their copies are. */
    public long digest(int other, long until) {
        return store.digest(0, Store.BUCKETS, keepers, me, other, 0, until);
    }

    /** All that tells two states apart where one key is all there is, for an explorer. */
    public String told(long key) {
        StringBuilder b = new StringBuilder().append(store.of(key)).append(' ').append(blank(keepers.of(key)));
        out.values().forEach(o -> b.append(' ').append(o.kind).append(o.answered).append(o.granted).append(o.over));
        return b.append(' ').append(numbers).append(' ').append(givenUp.size()).toString();
    }
}
