package ploverdale.replication;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import ploverdale.membership.Packet.Part;
import ploverdale.membership.PacketQueue;

/**
 * Makes copies equal: walks with one other gateway at a time over the ranges of keys that both keep, compares digests, goes
 * into those that differ, and takes the facts of the ranges where they still do. After a start it walks with all others;
 * then with one now and then. Each step is small, asked for by the one that lacks the facts, and asked again when lost; a walk
 * whose other end started anew begins again. Digests are salted by walk, so that two that match by accident do not the next
 * time. Times in tenths of a millisecond, of a clock that never steps.
 */
final class AntiEntropy {
    static final int COMPARES = 38;
    static final int DIFFERS = 39;
    static final int FETCHES = 40;
    static final int ENTRIES = 41;

    private static final long MS = 10;
    private static final long EVERY = 1000 * MS; // a walk, once all were walked with
    private static final long ASK_AGAIN = 150 * MS;
    private static final long GIVES_UP = 3000 * MS; // with one that answers nothing; others are waiting
    private static final int FANOUT = 16;
    private static final int LEAF = 3; // level at which a node is one range of keys
    private static final int COMPARE_HEAD = 19;
    private static final int STEPS_OUT = 4;
    private static final int LARGE =
            20_000; // facts; with more the walk begins at the sixteenths, whose digests are quick
    private static final long ENDING = 1000 * MS; // facts that end within this are left out: they end a little apart
    private static final int PART_MOST = 220;
    private static final double PURSE_KEPT = 0.5; // of the budget of bytes, for words that ops wait for
    private static final long NEVER = Long.MAX_VALUE;

    /** A node of the tree of ranges: level 0 is all; a leaf is taken from after this key. */
    private record Node(int level, int index, Long after) {}

    private static final class Step {
        private final Node node;
        private long at;

        private Step(Node node, long at) {
            this.node = node;
            this.at = at;
        }
    }

    private final int me;
    private final EntryStore store;
    private final ReplicaPlacement keepers;
    private final RandomGenerator random;
    private final long[]
            blanks; // by gateway: what it could not vouch for when last walked with; NEVER walked: no end to it
    private final List<Integer> first = new ArrayList<>(); // to walk with since the start
    private final Deque<Node> todo = new ArrayDeque<>();
    private final Map<Integer, Step> out = new LinkedHashMap<>();
    private int with = -1;
    private long itsStart;
    private long blank;
    private long salt;
    private long heardAt;
    private long nextAt;
    private int turn;
    private int numbers;
    private long taken;
    private String line;

    AntiEntropy(int me, int gateways, EntryStore store, ReplicaPlacement keepers, RandomGenerator random) {
        this.me = me;
        this.store = store;
        this.keepers = keepers;
        this.random = random;
        blanks = new long[gateways];
        Arrays.fill(blanks, NEVER);
        blanks[me] = Long.MIN_VALUE / 2;
        for (int i = 0; i < gateways; i++) {
            if (i != me) {
                first.add(i);
            }
        }
    }

    /** Up to when the other could not vouch for what it holds, when walked with last; the end of time: never walked with. */
    long blankOf(int gateway) {
        return blanks[gateway];
    }

    /** The same for the worst of all. */
    long blankOfAll() {
        return Arrays.stream(blanks).max().orElse(NEVER);
    }

    /** Facts that others' copies brought since the start. */
    long taken() {
        return taken;
    }

    /** A line for the log, once, or null. */
    String line() {
        String l = line;
        line = null;
        return l;
    }

    void due(long now, long wall, IntPredicate present, PacketQueue to) {
        if (with >= 0 && (!present.test(with) || now - heardAt > GIVES_UP)) {
            ends(now);
        }
        if (with < 0) {
            begins(now, present);
        }
        if (with < 0) {
            return;
        }
        for (Map.Entry<Integer, Step> e : out.entrySet()) {
            if (now - e.getValue().at >= ASK_AGAIN) {
                e.getValue().at = now;
                asks(wall, e.getKey(), e.getValue().node, to);
            }
        }
        goesOn(now, wall, to);
    }

    /** With one that was not walked with since the start, if any is there; else with any, now and then. */
    private void begins(long now, IntPredicate present) {
        List<Integer> may = new ArrayList<>();
        for (int i : first) {
            if (present.test(i)) {
                may.add(i);
            }
        }
        for (int i = 0; may.isEmpty() && now >= nextAt && i < blanks.length; i++) {
            int other = (i + turn) % blanks.length;
            if (other != me && present.test(other)) {
                may.add(other);
                turn = other + 1;
            }
        }
        if (!may.isEmpty()) {
            with = may.get(random.nextInt(may.size()));
            heardAt = now;
            begins();
        }
    }

    private void begins() {
        itsStart = 0;
        blank = Long.MIN_VALUE / 2;
        salt = random.nextInt();
        todo.clear();
        out.clear();
        if (store.size() < LARGE) {
            todo.add(new Node(0, 0, null));
        } else {
            for (int i = 0; i < FANOUT; i++) {
                todo.add(new Node(1, i, null));
            }
        }
    }

    /** The walk is over, or is tried again later. */
    private void ends(long now) {
        with = -1;
        todo.clear();
        out.clear();
        nextAt = now + EVERY;
    }

    private void goesOn(long now, long wall, PacketQueue to) {
        while (with >= 0 && out.size() < STEPS_OUT && !todo.isEmpty() && to.budgetFraction(now) > PURSE_KEPT) {
            int number = ++numbers;
            Step s = new Step(todo.pollLast(), now); // depth first, so that little is to do at any time
            out.put(number, s);
            asks(wall, number, s.node, to);
        }
        if (with >= 0 && out.isEmpty() && todo.isEmpty()) {
            blanks[with] = blank;
            if (first.remove((Integer) with) && first.isEmpty()) {
                line = "replicas: caught up with all others, " + store.size() + " facts held, " + taken
                        + " of them from others";
            }
            ends(now);
        }
    }

    private void asks(long wall, int number, Node n, PacketQueue to) {
        if (n.level == LEAF) {
            to.add(
                    with,
                    new Part(
                            FETCHES,
                            ByteBuffer.allocate(15)
                                    .putInt(number)
                                    .putShort((short) n.index)
                                    .put((byte) (n.after == null ? 0 : 1))
                                    .putLong(n.after == null ? 0 : n.after)
                                    .array()));
        } else {
            ByteBuffer b = ByteBuffer.allocate(COMPARE_HEAD + 8 * FANOUT)
                    .putInt(number)
                    .put((byte) n.level)
                    .putShort((short) n.index)
                    .putInt((int) salt)
                    .putLong(wall + ENDING);
            for (long d : digests(n.level, n.index, with, (int) salt, wall + ENDING)) {
                b.putLong(d);
            }
            to.add(with, new Part(COMPARES, b.array()));
        }
    }

    /** Digests of a node's children, of what the other and this gateway both keep. */
    private long[] digests(int level, int index, int other, int itsSalt, long until) {
        int span = EntryStore.BUCKETS >> 4 * (level + 1);
        long[] all = new long[FANOUT];
        for (int c = 0; c < FANOUT; c++) {
            int from = (index * FANOUT + c) * span;
            all[c] = store.digest(from, from + span, keepers, me, other, VersionedEntry.mix(itsSalt), until);
        }
        return all;
    }

    /** A part that has come; the start that an answer was for has been looked at. */
    void part(
            long now,
            long wall,
            int from,
            long start,
            int kind,
            ByteBuffer b,
            long askersStart,
            long ownBlank,
            PacketQueue to) {
        switch (kind) {
            case COMPARES -> {
                if (b.remaining() >= COMPARE_HEAD + 8 * FANOUT) {
                    int number = b.getInt();
                    int level = b.get();
                    int index = b.getShort() & 0xFFFF;
                    int itsSalt = b.getInt();
                    long until = b.getLong(); // the asker's, so that both look at the same facts
                    if (level >= 0 && level < LEAF && index < 1 << 4 * level) {
                        int differ = 0;
                        long[] own = digests(level, index, from, itsSalt, until);
                        for (int c = 0; c < FANOUT; c++) {
                            differ |= own[c] != b.getLong() ? 1 << c : 0;
                        }
                        to.add(
                                from,
                                new Part(
                                        DIFFERS,
                                        ByteBuffer.allocate(22)
                                                .putLong(askersStart)
                                                .putInt(number)
                                                .putShort((short) differ)
                                                .putLong(ownBlank)
                                                .array()));
                    }
                }
            }
            case FETCHES -> {
                if (b.remaining() >= 15) {
                    tells(wall, from, askersStart, b.getInt(), b.getShort() & 0xFFFF, b.get() != 0, b.getLong(), to);
                }
            }
            case DIFFERS -> {
                Step s = b.remaining() >= 14 ? answered(now, from, start, b.getInt()) : null;
                if (s != null && s.node.level < LEAF) {
                    int differ = b.getShort() & 0xFFFF;
                    blank = Math.max(blank, b.getLong());
                    for (int c = 0; c < FANOUT; c++) {
                        if ((differ >> c & 1) != 0) {
                            todo.add(new Node(s.node.level + 1, s.node.index * FANOUT + c, null));
                        }
                    }
                    goesOn(now, wall, to);
                }
            }
            case ENTRIES -> {
                Step s = b.remaining() >= 5 ? answered(now, from, start, b.getInt()) : null;
                if (s != null && s.node.level == LEAF) {
                    boolean more = b.get() != 0;
                    Long last = null;
                    while (b.remaining() > 8) {
                        long key = b.getLong();
                        VersionedEntry fact = VersionedEntry.read(b);
                        if (fact == null) {
                            break; // of a later version, perhaps; what follows cannot be told apart
                        }
                        last = key;
                        taken += store.join(wall, key, fact) ? 1 : 0;
                    }
                    if (more && last != null) {
                        todo.add(new Node(LEAF, s.node.index, last));
                    }
                    goesOn(now, wall, to);
                }
            }
            default -> {}
        }
    }

    /** The step that an answer is for; null where it is none of this walk, whose other end may have started anew. */
    private Step answered(long now, int from, long start, int number) {
        if (from != with) {
            return null;
        }
        if (itsStart != 0 && start != itsStart) {
            begins();
            return null;
        }
        itsStart = start;
        heardAt = now;
        return out.remove(number);
    }

    private void tells(
            long wall, int to, long askersStart, int number, int bucket, boolean after, long key, PacketQueue out) {
        if (bucket >= EntryStore.BUCKETS) {
            return;
        }
        ByteBuffer b = ByteBuffer.allocate(PART_MOST + VersionedEntry.MOST + 8);
        b.putLong(askersStart).putInt(number).put((byte) 0);
        boolean[] more = {false};
        store.each(bucket, after ? key : null, keepers, me, to, wall + ENDING, (k, fact) -> {
            if (more[0] || b.position() > 13 && b.position() + 8 + fact.length() > PART_MOST) {
                more[0] = true;
            } else {
                b.putLong(k);
                fact.write(b);
            }
        });
        b.put(12, (byte) (more[0] ? 1 : 0));
        out.add(to, new Part(ENTRIES, Arrays.copyOf(b.array(), b.position())));
    }
}
