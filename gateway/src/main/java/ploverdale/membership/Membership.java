package ploverdale.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import ploverdale.membership.Packet.Part;

/**
 * Who of the fleet is alive, as one gateway knows it. Each period it asks one other, in an order drawn anew each round; who
 * does not answer is asked for through a few others, and only then suspected; who is found silent by a second one, asking
 * for itself, or stays suspected, is gone. Whoever hears
 * that it is suspected itself says a higher incarnation, which overrides. News travel with the questions and answers, each a
 * few times. Any word that comes from a member itself proves that it lives. Times in tenths of a millisecond, of a clock
 * that never steps.
 */
public final class Membership {
    /** How a member stands, in the order in which later words of the same incarnation override earlier ones. */
    public enum MemberState {
        UNHEARD,
        ALIVE,
        SUSPECTED,
        LEAVING,
        GONE
    }

    /** A member's standing has changed. */
    public record Change(int member, MemberState was, MemberState is, long incarnation) {}

    public static final int PING = 1;
    public static final int ACK = 2;
    public static final int PING_REQUEST = 3;
    public static final int UPDATES = 4;

    private static final long MS = 10;
    static final long PERIOD = 500 * MS;
    private static final long ANSWER_WITHIN = 150 * MS; // several ways there and back; then others are asked
    private static final int OTHERS = 3; // asked when one does not answer; a lost way from here only is found out
    private static final double SUSPECTED_PERIODS = 4; // then gone, times the logarithm of the number of members
    private static final double WITNESSES =
            8; // who ask, on the average, when one is suspected; some suspicions are false
    private static final int NEWS_MOST = 12; // in a part
    private static final int NEWS_BYTES = 9;
    private static final int WORD_BITS = 7; // of an incarnation count what one start has said against suspicions
    private static final double TOLD_TIMES = 3; // each piece of news, times the logarithm of the number of members

    private static final class Member {
        private MemberState standing = MemberState.UNHEARD;
        private long incarnation;
        private long since;
        private long heardAt = Long.MIN_VALUE / 2; // itself, here
        private int tellLeft;
    }

    /** A question that is out. */
    private static final class OutstandingPing {
        private final int of;
        private final int forWhom; // who asked for it; this gateway itself: me
        private final int theirNumber;
        private final long at;
        private final long incarnation; // that was asked
        private boolean witness; // asked since another suspects it
        private boolean othersAsked;

        private OutstandingPing(int of, int forWhom, int theirNumber, long at, long incarnation) {
            this.of = of;
            this.forWhom = forWhom;
            this.theirNumber = theirNumber;
            this.at = at;
            this.incarnation = incarnation;
        }
    }

    private final int me;
    private final Member[] members;
    private final RandomGenerator random;
    private final Map<Integer, OutstandingPing> questions = new LinkedHashMap<>();
    private final List<Integer> round = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final int toldTimes;
    private final long goneAfter;
    private long incarnation;
    private int numbers;
    private long nextAt = Long.MIN_VALUE;
    private boolean leaving;

    /**
     * @param startedMs Unix ms, by which later starts of a name are told from earlier ones; where the clock has stepped back
     *     meanwhile, {@link #corrects} tells it of the earlier start, and it takes a later one
     */
    public Membership(int me, int size, long startedMs, RandomGenerator random) {
        this.me = me;
        incarnation = startedMs << WORD_BITS;
        this.random = random;
        members = new Member[size];
        for (int i = 0; i < size; i++) {
            members[i] = new Member();
        }
        double log = Math.max(1, Math.log(size) / Math.log(2));
        toldTimes = (int) Math.ceil(TOLD_TIMES * log);
        goneAfter = (long) (SUSPECTED_PERIODS * log * PERIOD / 2);
        members[me].standing = MemberState.ALIVE;
        members[me].incarnation = incarnation;
        members[me].tellLeft = toldTimes;
    }

    public long incarnation() {
        return incarnation;
    }

    /** Which start of a name an incarnation is of: the same for all that one process says, and of no other process. */
    public static long start(long incarnation) {
        return incarnation >>> WORD_BITS;
    }

    public int size() {
        return members.length;
    }

    public MemberState standing(int member) {
        return members[member].standing;
    }

    /** The incarnation last heard of. */
    public long incarnation(int member) {
        return members[member].incarnation;
    }

    /** Whether it may be reckoned with: heard of, and neither leaving nor gone. */
    public boolean isPresent(int member) {
        return members[member].standing == MemberState.ALIVE || members[member].standing == MemberState.SUSPECTED;
    }

    public int present() {
        int n = 0;
        for (int i = 0; i < members.length; i++) {
            n += isPresent(i) ? 1 : 0;
        }
        return n;
    }

    /** When this member itself was heard last, here. */
    public long heardAt(int member) {
        return members[member].heardAt;
    }

    /** What has changed since the last call. */
    public List<Change> changes() {
        List<Change> all = List.copyOf(changes);
        changes.clear();
        return all;
    }

    /** This gateway leaves; it says so with all that it still sends. */
    public void leaves(long now) {
        leaving = true;
        set(now, me, incarnation, MemberState.LEAVING);
    }

    // -- Hearing

    /** A parcel has come from that member itself; its parts follow. An earlier incarnation's is not to be read. */
    public boolean hears(long now, int from, long itsIncarnation) {
        Member m = members[from];
        if (start(itsIncarnation) < start(m.incarnation)) {
            return false;
        }
        m.heardAt = now;
        if (itsIncarnation > m.incarnation || m.standing == MemberState.UNHEARD) {
            set(now, from, itsIncarnation, MemberState.ALIVE);
        } else if (m.standing == MemberState.SUSPECTED || m.standing == MemberState.GONE) {
            m.tellLeft = toldTimes; // it is told so, and says a higher incarnation; then all know
        }
        return true;
    }

    /**
     * A parcel of an earlier start than the last one known has come: a delayed one, or the process has been restarted while its
     * wall clock was behind that of the earlier start. Tells it the incarnation known here, to which a live process answers
     * with a higher one (SWIM's refutation).
     */
    public void corrects(int from, PacketQueue out) {
        out.add(
                from,
                new Part(UPDATES, update(ByteBuffer.allocate(NEWS_BYTES), from).array()));
    }

    /** One part of it; other kinds are somebody else's. */
    public void part(long now, int from, Part part, PacketQueue out) {
        ByteBuffer b = ByteBuffer.wrap(part.content());
        switch (part.kind()) {
            case PING -> {
                if (b.remaining() >= 4) {
                    answer(from, b.getInt(), out);
                }
            }
            case ACK -> {
                OutstandingPing q = b.remaining() >= 4 ? questions.remove(b.getInt()) : null;
                if (q != null && q.forWhom != me) {
                    answer(q.forWhom, q.theirNumber, out);
                }
            }
            case PING_REQUEST -> {
                int number = b.remaining() >= 6 ? b.getInt() : 0;
                int of = b.remaining() >= 2 ? b.getShort() & 0xFFFF : members.length;
                if (of < members.length && of != me) {
                    ask(now, of, from, number, out);
                }
            }
            case UPDATES -> {
                while (b.remaining() >= NEWS_BYTES) {
                    int of = b.getShort() & 0xFFFF;
                    long inc = (b.getShort() & 0xFFFFL) << 32 | b.getInt() & 0xFFFFFFFFL;
                    int standing = b.get();
                    if (of < members.length && standing > 0 && standing < MemberState.values().length) {
                        news(now, of, inc, MemberState.values()[standing], out);
                    }
                }
            }
            default -> {}
        }
    }

    private void answer(int to, int number, PacketQueue out) {
        out.add(to, new Part(ACK, ByteBuffer.allocate(4).putInt(number).array()));
        tellNews(to, out);
    }

    private void news(long now, int of, long inc, MemberState is, PacketQueue out) {
        Member m = members[of];
        if (of == me) {
            if (inc > incarnation || inc == incarnation && is.ordinal() > MemberState.ALIVE.ordinal() && !leaving) {
                // A false suspicion, or an earlier start of this name by a clock ahead: what is said now is newer.
                incarnation = start(inc) == start(incarnation) ? inc + 1 : start(inc) + 1 << WORD_BITS;
                set(now, me, incarnation, leaving ? MemberState.LEAVING : MemberState.ALIVE);
            }
        } else if (inc > m.incarnation || inc == m.incarnation && is.ordinal() > m.standing.ordinal()) {
            // Guards against a suspicion of one that was heard here just now: it is not taken over, it is refuted.
            if (is == MemberState.SUSPECTED && inc == m.incarnation && now - m.heardAt < PERIOD) {
                return;
            }
            set(now, of, inc, is);
            // A few of all who hear of a suspicion look for themselves, so that the dead are known soon in a large
            // fleet too.
            if (is == MemberState.SUSPECTED && random.nextDouble() * (members.length - 1) < WITNESSES) {
                questions.get(ask(now, of, me, 0, out)).witness = true;
            }
        }
    }

    private void set(long now, int of, long inc, MemberState is) {
        Member m = members[of];
        MemberState was = m.standing;
        boolean anew = inc > m.incarnation;
        m.incarnation = inc;
        m.standing = is;
        m.since = now;
        m.tellLeft = toldTimes;
        if (was != is || anew && of != me) {
            changes.add(new Change(of, was, is, inc));
        }
    }

    // -- Asking and telling

    /** What is due by now. */
    public void due(long now, PacketQueue out) {
        questions.entrySet().removeIf(e -> now - e.getValue().at > 2 * PERIOD && e.getValue().forWhom != me);
        for (Map.Entry<Integer, OutstandingPing> e : List.copyOf(questions.entrySet())) {
            OutstandingPing q = e.getValue();
            if (q.forWhom != me) {
                continue;
            }
            if (now - q.at >= PERIOD) {
                questions.remove(e.getKey());
                Member m = members[q.of];
                if (m.heardAt < q.at && (m.standing == MemberState.ALIVE || m.standing == MemberState.UNHEARD)) {
                    set(
                            now,
                            q.of,
                            m.incarnation,
                            m.standing == MemberState.UNHEARD ? MemberState.GONE : MemberState.SUSPECTED);
                } else if (m.heardAt < q.at
                        && m.standing == MemberState.SUSPECTED
                        && q.witness
                        && m.incarnation == q.incarnation) {
                    set(now, q.of, m.incarnation, MemberState.GONE); // found so by two who asked apart from one another
                }
            } else if (!q.othersAsked && now - q.at >= ANSWER_WITHIN && members[q.of].heardAt < q.at) {
                q.othersAsked = true;
                byte[] content = ByteBuffer.allocate(6)
                        .putInt(e.getKey())
                        .putShort((short) q.of)
                        .array();
                some(OTHERS, q.of).forEach(other -> out.add(other, new Part(PING_REQUEST, content)));
            }
        }
        for (int i = 0; i < members.length; i++) {
            if (members[i].standing == MemberState.SUSPECTED && now - members[i].since > goneAfter) {
                set(now, i, members[i].incarnation, MemberState.GONE);
            }
        }
        if (now >= nextAt) {
            // Guards against all asking at the same moment: the first period is begun by chance.
            nextAt = nextAt == Long.MIN_VALUE ? now + random.nextLong(PERIOD) : Math.max(now, nextAt + PERIOD);
            int next = next();
            if (next >= 0) {
                ask(now, next, me, 0, out);
            }
        }
    }

    /** All in an order by chance, then all again: each is asked once a round. Those gone are asked too, more seldom. */
    private int next() {
        if (round.isEmpty()) {
            for (int i = 0; i < members.length; i++) {
                boolean away = members[i].standing == MemberState.GONE || members[i].standing == MemberState.LEAVING;
                if (i != me && (!away || random.nextInt(4) == 0)) {
                    round.add(i);
                }
            }
            java.util.Collections.shuffle(round, new java.util.Random(random.nextLong()));
        }
        return round.isEmpty() ? -1 : round.remove(round.size() - 1);
    }

    private int ask(long now, int of, int forWhom, int theirNumber, PacketQueue out) {
        int number = ++numbers;
        questions.put(number, new OutstandingPing(of, forWhom, theirNumber, now, members[of].incarnation));
        out.add(of, new Part(PING, ByteBuffer.allocate(4).putInt(number).array()));
        tellNews(of, out);
        return number;
    }

    private List<Integer> some(int most, int but) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < members.length; i++) {
            if (i != me && i != but && members[i].standing == MemberState.ALIVE) {
                all.add(i);
            }
        }
        java.util.Collections.shuffle(all, new java.util.Random(random.nextLong()));
        return all.subList(0, Math.min(most, all.size()));
    }

    /** The news told least often yet, to whom a question or an answer goes anyway; its own standing to itself always. */
    private void tellNews(int to, PacketQueue out) {
        List<Integer> told = new ArrayList<>();
        for (int i = 0; i < members.length; i++) {
            boolean itself = i == to
                    && (members[i].standing == MemberState.SUSPECTED || members[i].standing == MemberState.GONE);
            if (members[i].tellLeft > 0 && members[i].standing != MemberState.UNHEARD || itself) {
                told.add(i);
            }
        }
        told.sort(Comparator.comparingInt(i -> i == to ? Integer.MIN_VALUE : -members[i].tellLeft));
        List<Integer> part = told.subList(0, Math.min(NEWS_MOST, told.size()));
        if (part.isEmpty()) {
            return;
        }
        ByteBuffer b = ByteBuffer.allocate(part.size() * NEWS_BYTES);
        for (int i : part) {
            Member m = members[i];
            m.tellLeft = Math.max(0, m.tellLeft - 1);
            update(b, i);
        }
        out.add(to, new Part(UPDATES, b.array()));
    }

    private ByteBuffer update(ByteBuffer b, int member) {
        Member m = members[member];
        return b.putShort((short) member)
                .putShort((short) (m.incarnation >>> 32))
                .putInt((int) m.incarnation)
                .put((byte) m.standing.ordinal());
    }
}
