package ploverdale.replication;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import ploverdale.membership.Packet.Part;
import ploverdale.membership.PacketQueue;

/**
 * Facts replicated among the gateways of a fleet, as one gateway holds and asks for them. A fact is copied to the
 * replicas of its key; who needs one asks them all, and a majority of answers decides ({@link QuorumCoordinator}). A
 * replica answers a session's position with the latest copy that it holds, and no less than the time up to which
 * copies may be missing there ({@link CompletenessBound}). So a replica that started with nothing never turns an
 * unknown past into none, and the loss of all of them breaks no promise: some reads go to the primary until other
 * servers are past their start. Messages may be lost, doubled, late or reordered.
 *
 * <p>{@code now} is in tenths of a millisecond of a monotonic clock; positions and times of facts are Unix times in
 * the same unit. Not thread-safe: one thread, that of the event loop, calls it.
 */
public final class Replicas {
    /** How a request to the replicas ended. */
    public enum End {
        /** A session's reads must reach the position given. */
        KNOWN,
        /** No majority of replicas has answered in time. */
        UNKNOWN,
        /** A majority of replicas has a copy. */
        COPIED,
        /** The write is this gateway's to send, under the claim given. */
        GRANTED,
        /** It ran before; the answer may be known. */
        RAN,
        /** Another claim may still run, or may have. */
        IN_DOUBT
    }

    /** The end of the request that a ticket stands for. */
    public record Done(long ticket, End end, long position, int server, IdempotencyRecord claim, byte[] answer) {}

    public static final int COPIES = ReplicaMessages.COPY_REQUEST;
    public static final int COPIED = ReplicaMessages.COPY_ANSWER;
    public static final int ASKS = ReplicaMessages.POSITION_REQUEST;
    public static final int TELLS = ReplicaMessages.POSITION_ANSWER;
    public static final int CLAIMS = ReplicaMessages.CLAIM_REQUEST;
    public static final int CLAIMED = ReplicaMessages.CLAIM_ANSWER;

    private static final long MS = 10;

    private final int me;
    private final ReplicationSettings keeping;
    private final LongSupplier wall;
    private final ReplicaPlacement placement;
    private final EntryStore store;
    private final AntiEntropy catchUp;
    private final CompletenessBound bound;
    private final ReplicaHolder holder;
    private final QuorumCoordinator coordinator;
    private final List<String> lines = new ArrayList<>();
    private long start;

    /**
     * @param me this gateway's number
     * @param start which start of its name this is
     * @param random chooses whom to compare with, and salts of digests
     * @param wall Unix time, in tenths of a millisecond
     */
    public Replicas(
            int me, int gateways, long start, ReplicationSettings keeping, RandomGenerator random, LongSupplier wall) {
        this.me = me;
        this.start = start;
        this.keeping = keeping;
        this.wall = wall;
        long startedAt = wall.getAsLong() + keeping.clocksApart();
        placement = new ReplicaPlacement(gateways, keeping.copies());
        store = new EntryStore(keeping.most(), placement::of, this::isOver);
        catchUp = new AntiEntropy(me, gateways, store, placement, random);
        bound = new CompletenessBound(keeping, wall, placement, store, catchUp, startedAt);
        holder = new ReplicaHolder(wall, placement, store, bound, lines::add);
        coordinator = new QuorumCoordinator(me, keeping, wall, placement, store, bound, holder);
        lines.add(settingsLine(gateways));
    }

    private boolean isOver(VersionedEntry fact, long at) {
        long lasts =
                fact instanceof WriteOutcome ? keeping.submitsFor() + keeping.clocksApart() : keeping.sessionsFor();
        return fact.at() + lasts < at;
    }

    private String settingsLine(int gateways) {
        String sessions = keeping.sessions() ? "sessions for " + keeping.sessionsFor() / MS + " ms" : "no sessions";
        String submits = keeping.submits() ? "submits for " + keeping.submitsFor() / MS + " ms" : "no submits";
        return "replicas: " + placement.copies() + " copies among " + gateways + " gateways, " + sessions + ", "
                + submits + (gateways > 1 ? ", catching up" : "");
    }

    /** The key of a session or of a write's id: 64 bits of a hash, which clients cannot make collide. */
    public static long key(boolean session, String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((byte) (session ? 's' : 'w'));
            byte[] hash = digest.digest(text.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // each Java has it
        }
    }

    /** The Unix clock was off: what came until now cannot be vouched for. */
    public void startsAnew() {
        bound.startsAnew(wall.getAsLong() + keeping.clocksApart());
    }

    /** Which start of its name this gateway speaks as from now on. */
    public void speaksAs(long start) {
        this.start = start;
    }

    /**
     * A session's write was acknowledged at that position by a server of that number. Where somebody waits, the
     * ticket ends as copied or unknown; else it is 0.
     */
    public long wrote(long now, long key, long position, int server, long within, boolean waits, PacketQueue to) {
        // A position wrongly in the future would force the session's reads to the primary until then.
        long bounded = Math.min(position, wall.getAsLong() + keeping.clocksApart());
        return coordinator.copy(now, key, new Position(bounded, server & 0xFFFF), within, waits, to);
    }

    /**
     * What is proven of a claim that was granted here; where nothing is, the doubt stays. Tickets as for {@link
     * #wrote}.
     */
    public long became(
            long now,
            long key,
            IdempotencyRecord claim,
            int proof,
            byte[] answer,
            long within,
            boolean waits,
            PacketQueue to) {
        return coordinator.copyOutcome(now, key, claim, proof, answer, within, waits, to);
    }

    /** Asks how far a session's reads must reach; the ticket ends as known or unknown. */
    public long asks(long now, long key, PacketQueue to) {
        return coordinator.askPosition(now, key, to);
    }

    /**
     * Claims to send a write under an id; the ticket ends as granted, or as what is known of an earlier claim.
     *
     * @param first whether its client has marked it as a first submission
     * @param arrivedAt when it came here, Unix time
     */
    public long claims(long now, long key, boolean first, long arrivedAt, PacketQueue to) {
        return coordinator.claim(now, key, start, first, arrivedAt, to);
    }

    /** What has ended since the last call. */
    public List<Done> done() {
        return coordinator.takeDone();
    }

    /** Handles a message of another gateway. */
    public void part(long now, int from, long itsStart, Part part, PacketQueue to) {
        ByteBuffer content = ByteBuffer.wrap(part.content());
        int kind = part.kind();
        switch (kind) {
            case COPIES, ASKS, CLAIMS -> {
                if (content.remaining() >= ReplicaMessages.REQUEST_HEAD_BYTES) {
                    holder.onRequest(from, itsStart, kind, content, to);
                }
            }
            case COPIED, TELLS, CLAIMED -> {
                if (isAnswerToThisStart(content)) {
                    coordinator.onAnswer(from, kind, content);
                }
            }
            case AntiEntropy.DIFFERS, AntiEntropy.ENTRIES -> {
                if (isAnswerToThisStart(content)) {
                    catchUp.part(now, wall.getAsLong(), from, itsStart, kind, content, itsStart, 0, to);
                }
            }
            default -> catchUp.part(now, wall.getAsLong(), from, itsStart, kind, content, itsStart, bound.ofAll(), to);
        }
        collectCatchUpLine();
    }

    /** Reads the start of the one who asked, with which each answer begins. */
    private boolean isAnswerToThisStart(ByteBuffer content) {
        return content.remaining() >= ReplicaMessages.ANSWER_HEAD_BYTES && content.getLong() == start;
    }

    /**
     * Does the periodic work.
     *
     * @param present whether a gateway is alive as far as this one knows
     */
    public void due(long now, IntPredicate present, PacketQueue to) {
        coordinator.onTick(now, to);
        store.sweep(wall.getAsLong());
        catchUp.due(now, wall.getAsLong(), present, to);
        collectCatchUpLine();
    }

    private void collectCatchUpLine() {
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
        return "replicas: holds " + store.size() + " facts, " + store.evicted() + " forgotten for want of room, "
                + coordinator.asked() + " asked, " + coordinator.unknown() + " of them unknown, " + catchUp.taken()
                + " taken from others, " + holder.alarms() + " alarms";
    }

    /** Facts held here. */
    public int size() {
        return store.size();
    }

    /**
     * A digest of all facts that this gateway and another both hold and that last beyond a moment; equal where they
     * agree.
     */
    public long digest(int other, long until) {
        return store.digest(0, EntryStore.BUCKETS, placement, me, other, 0, until);
    }

    /** All that tells two states apart where one key is all there is, for an explorer. */
    public String told(long key) {
        StringBuilder text = new StringBuilder().append(store.of(key));
        text.append(' ').append(bound.of(placement.of(key)));
        coordinator.describe(text);
        return text.toString();
    }
}
