package ploverdale.replication;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import ploverdale.membership.PacketQueue;
import ploverdale.replication.QuorumRequest.Kind;
import ploverdale.replication.Replicas.Done;
import ploverdale.replication.Replicas.End;

/**
 * Sends this gateway's requests to the replicas of their keys, repeats them until answered, and ends each once a
 * majority of answers decides it or its time is over. Where this gateway is itself a replica, it answers at once and
 * without a message.
 *
 * <p>{@code now} is in tenths of a millisecond of a monotonic clock; positions and times of facts are Unix times in
 * the same unit. Not thread-safe, used on the thread of {@link Replicas}.
 */
final class QuorumCoordinator {
    private static final long MS = 10;
    private static final long COPY_TIMEOUT = 1000 * MS; // where nobody waits; anti-entropy brings it to the others
    private static final int MAX_PENDING = 20_000; // one more is unknown at once
    private static final byte[] NO_ANSWER = {};

    private final int me;
    private final ReplicationSettings keeping;
    private final LongSupplier wall;
    private final ReplicaPlacement placement;
    private final EntryStore store;
    private final CompletenessBound bound;
    private final ReplicaHolder holder;
    private final Map<Integer, QuorumRequest> pending = new LinkedHashMap<>(); // by number, oldest first
    private final List<QuorumRequest> abandonedClaims = new ArrayList<>();
    private final List<Done> done = new ArrayList<>();
    private int lastNumber;
    private long lastTicket;
    private long asked;
    private long unknown;

    /**
     * @param wall Unix time in tenths of a millisecond
     * @param holder this gateway as a replica
     */
    QuorumCoordinator(
            int me,
            ReplicationSettings keeping,
            LongSupplier wall,
            ReplicaPlacement placement,
            EntryStore store,
            CompletenessBound bound,
            ReplicaHolder holder) {
        this.me = me;
        this.keeping = keeping;
        this.wall = wall;
        this.placement = placement;
        this.store = store;
        this.bound = bound;
        this.holder = holder;
    }

    /** Positions and claims asked for since the start. */
    long asked() {
        return asked;
    }

    /** Positions that no majority told in time. */
    long unknown() {
        return unknown;
    }

    /** What has ended since the last call. */
    List<Done> takeDone() {
        List<Done> all = List.copyOf(done);
        done.clear();
        return all;
    }

    /** Copies a fact to the replicas of its key; the ticket, or 0 where nobody waits. */
    long copy(long now, long key, VersionedEntry fact, long within, boolean waits, PacketQueue to) {
        long deadline = now + (waits ? within : COPY_TIMEOUT);
        QuorumRequest request = new QuorumRequest(++lastTicket, Kind.COPY, key, placement, deadline, waits);
        request.fact = fact;
        holder.join(key, fact); // also where this gateway is no replica of it: the key may be asked for here again
        begin(now, request, to);
        return waits ? request.ticket : 0;
    }

    /** Copies what is proven of a claim that was granted to this gateway. */
    long copyOutcome(
            long now,
            long key,
            IdempotencyRecord claim,
            int proof,
            byte[] answer,
            long within,
            boolean waits,
            PacketQueue to) {
        WriteOutcome held = holder.outcomeOf(key);
        long at = held != null ? held.at() : wall.getAsLong();
        return copy(now, key, WriteOutcome.of(at, claim, proof, answer), within, waits, to);
    }

    /** Asks for the position that a session's reads must reach; its ticket. */
    long askPosition(long now, long key, PacketQueue to) {
        QuorumRequest request =
                new QuorumRequest(++lastTicket, Kind.ASK, key, placement, now + keeping.askWithin(), true);
        asked++;
        if (store.of(key) instanceof Position held) {
            request.position = held.at();
            request.server = held.server();
        }
        begin(now, request, to);
        return request.ticket;
    }

    /**
     * Claims to send a write; its ticket.
     *
     * @param start which start of its name this gateway speaks as
     * @param first whether its client has marked it as a first submission
     * @param arrivedAt when it came here, Unix time
     */
    long claim(long now, long key, long start, boolean first, long arrivedAt, PacketQueue to) {
        QuorumRequest request =
                new QuorumRequest(++lastTicket, Kind.CLAIM, key, placement, now + keeping.askWithin(), true);
        request.claim = new IdempotencyRecord(me, start, ++lastNumber);
        request.first = first && keeping.retriesMarked();
        request.fact = WriteOutcome.of(arrivedAt, request.claim, WriteOutcome.MADE, NO_ANSWER);
        asked++;
        begin(now, request, to);
        return request.ticket;
    }

    private void begin(long now, QuorumRequest request, PacketQueue to) {
        int number = ++lastNumber;
        if (pending.size() >= MAX_PENDING) {
            end(request, End.UNKNOWN);
            return;
        }
        pending.put(number, request);
        request.sent(now);
        int ownPlace = request.placeOf(me);
        if (ownPlace >= 0) {
            answerLocally(request, ownPlace);
        }
        send(number, request, to);
        if (request.isAnsweredByAll()) {
            pending.remove(number);
        }
    }

    private void answerLocally(QuorumRequest request, int place) {
        long key = request.key;
        switch (request.kind) {
            case COPY -> onCopied(request, place);
            case ASK -> {
                long position = bound.requiredPosition(key, request.replicas());
                onPosition(request, place, position, holder.serverOf(key));
            }
            case CLAIM -> {
                boolean granted = holder.grant(key, request.claim, request.first, (WriteOutcome) request.fact);
                onClaimAnswer(request, place, granted, holder.outcomeOf(key));
            }
            default -> throw new IllegalStateException(request.kind.name());
        }
    }

    /** To all other replicas that have not answered yet. */
    private void send(int number, QuorumRequest request, PacketQueue to) {
        for (int place = 0; place < placement.copies(); place++) {
            int gateway = request.gateway(place);
            if (gateway != me && !request.isAnsweredBy(place)) {
                to.add(gateway, ReplicaMessages.request(number, request));
            }
        }
    }

    /** Handles a replica's answer from its number on; ignores one that is late, doubled or of another kind. */
    void onAnswer(int from, int kind, ByteBuffer content) {
        int number = content.getInt();
        QuorumRequest request = pending.get(number);
        int place = request == null ? -1 : request.placeOf(from);
        if (place < 0 || kind != request.kind.answerKind) {
            return;
        }
        switch (request.kind) {
            case COPY -> onCopied(request, place);
            case ASK -> {
                if (content.remaining() >= ReplicaMessages.POSITION_BYTES) {
                    onPosition(request, place, content.getLong(), content.getShort());
                }
            }
            case CLAIM -> {
                if (content.remaining() >= ReplicaMessages.GRANT_BYTES) {
                    boolean granted = content.get() != 0;
                    onClaimAnswer(
                            request,
                            place,
                            granted,
                            VersionedEntry.read(content) instanceof WriteOutcome known ? known : null);
                }
            }
            default -> throw new IllegalStateException(request.kind.name());
        }
        if (request.isAnsweredByAll() || request.ended && request.kind == Kind.ASK) {
            pending.remove(number);
        }
    }

    private void onCopied(QuorumRequest request, int place) {
        request.markAnswered(place);
        if (request.isAnsweredByMajority()) {
            end(request, End.COPIED);
        }
    }

    private void onPosition(QuorumRequest request, int place, long position, int server) {
        if (request.isAnsweredBy(place)) {
            return;
        }
        request.markAnswered(place);
        if (position > request.position) {
            request.position = position;
            request.server = server;
        }
        if (request.isAnsweredByMajority()) {
            end(request, End.KNOWN);
        }
    }

    /**
     * A claim is granted by a majority or not at all; where it is not, those who granted it are to be told that its
     * write is never sent.
     *
     * @param known what the replica holds of the write, or null
     */
    private void onClaimAnswer(QuorumRequest request, int place, boolean granted, WriteOutcome known) {
        if (request.isAnsweredBy(place)) {
            return;
        }
        request.markAnswered(place);
        if (granted) {
            request.countGrant();
        }
        if (known != null) {
            holder.join(request.key, known);
        }
        WriteOutcome joined = holder.outcomeOf(request.key);
        if (request.isGrantedByMajority()) {
            end(request, End.GRANTED);
        } else if (joined != null && joined.acked()) {
            end(request, End.RAN);
        } else if (!request.mayBeGrantedByMajority()) {
            end(request, End.IN_DOUBT);
        }
        boolean lost = request.ended && !request.isGrantedByMajority();
        if (lost && request.isGrantedByAny() && request.isAnsweredByAll()) {
            abandonedClaims.add(request);
        }
    }

    private void end(QuorumRequest request, End end) {
        if (request.ended) {
            return;
        }
        request.ended = true;
        if (end == End.UNKNOWN && request.kind == Kind.ASK) {
            unknown++;
        }
        if (request.waits) {
            WriteOutcome held = holder.outcomeOf(request.key);
            byte[] answer = held == null ? NO_ANSWER : held.answer();
            done.add(new Done(request.ticket, end, request.position, request.server, request.claim, answer));
        }
    }

    /** Ends requests whose time is over, repeats others, and reports claims that are given up. */
    void onTick(long now, PacketQueue to) {
        pending.entrySet().removeIf(entry -> {
            QuorumRequest request = entry.getValue();
            if (request.isExpired(now)) {
                expire(request);
                return true;
            }
            if (request.isRetryDue(now)) {
                request.retried(now);
                send(entry.getKey(), request, to);
            }
            return false;
        });
        for (QuorumRequest request : abandonedClaims) {
            copyOutcome(now, request.key, request.claim, WriteOutcome.NEVER_RAN, NO_ANSWER, 0, false, to);
        }
        abandonedClaims.clear();
    }

    private void expire(QuorumRequest request) {
        boolean isClaim = request.kind == Kind.CLAIM;
        end(request, isClaim ? End.IN_DOUBT : End.UNKNOWN);
        if (isClaim && !request.isGrantedByMajority()) {
            abandonedClaims.add(request); // a replica may have granted it whose answer was lost
        }
    }

    /** Appends all that tells two states apart, for an explorer. */
    void describe(StringBuilder to) {
        pending.values().forEach(request -> request.describe(to));
        to.append(' ').append(lastNumber).append(' ').append(abandonedClaims.size());
    }
}
