package ploverdale.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import ploverdale.membership.Packet.Part;
import ploverdale.membership.PacketQueue;

/**
 * This gateway's part of the replicated state: positions of sessions and outcomes of writes, each of them replicated on
 * a few gateways of the fleet. An entry is written to the replicas of its key; a read or a claim queries all of them,
 * and a majority decides (see {@link QuorumCoordinator}; quorums as in Gifford, 1979; placement and eventual repair as
 * in Dynamo, 2007). Replicas that missed a write receive it by anti-entropy ({@link AntiEntropy}).
 *
 * <p>A replica answers a read with its own entry, or with the time up to which it may lack entries if that is later
 * ({@link CompletenessBound}). A replica that started empty therefore never treats an entry that it lacks as absent,
 * and losing all replicas only sends reads to the primary for a while. Messages may be lost, duplicated, delayed or
 * reordered.
 *
 * <p>{@code now} is in tenths of a millisecond of a monotonic clock; positions and timestamps of entries are Unix
 * times in the same unit. Not thread-safe: used on the event loop only.
 */
public final class Replicas {
    private static final long TICKS_PER_MS = 10;

    private final int self;
    private final ReplicationSettings settings;
    private final LongSupplier unixClock;
    private final ReplicaPlacement placement;
    private final EntryStore store;
    private final AntiEntropy antiEntropy;
    private final AntiEntropyResponder antiEntropyResponder;
    private final CompletenessBound bound;
    private final LocalReplica localReplica;
    private final QuorumCoordinator coordinator;
    private final List<String> logLines = new ArrayList<>();
    private long incarnation;

    /**
     * Starts with an empty store, which catches up with the other gateways by anti-entropy.
     *
     * @param self this gateway's number
     * @param gateways number of gateways of the fleet, alive or not
     * @param incarnation of this gateway's process
     * @param random draws the peers of anti-entropy and the salts of digests
     * @param unixClock returns Unix times in tenths of a millisecond
     */
    public Replicas(
            int self,
            int gateways,
            long incarnation,
            ReplicationSettings settings,
            RandomGenerator random,
            LongSupplier unixClock) {
        this.self = self;
        this.incarnation = incarnation;
        this.settings = settings;
        this.unixClock = unixClock;
        placement = new ReplicaPlacement(gateways, settings.replicationFactor());
        store = new EntryStore(settings, placement);
        SynchronizedPeers peers = new SynchronizedPeers(self, gateways);
        KeySpaceDigests digests = new KeySpaceDigests(self, store);
        antiEntropy = new AntiEntropy(store, digests, peers, random, logLines::add);
        antiEntropyResponder = new AntiEntropyResponder(self, store, digests);
        long startedAt = unixClock.getAsLong() + settings.maxClockDifference();
        bound = new CompletenessBound(settings, unixClock, placement, store, peers, startedAt);
        localReplica = new LocalReplica(unixClock, placement, store, bound, logLines::add);
        coordinator = new QuorumCoordinator(self, settings, placement, store, localReplica);
        logLines.add(settingsLine(gateways));
    }

    private String settingsLine(int gateways) {
        String sessions = settings.replicatesSessions()
                ? "sessions for " + settings.sessionRetention() / TICKS_PER_MS + " ms"
                : "no sessions";
        String outcomes = settings.replicatesOutcomes()
                ? "submits for " + settings.resubmissionWindow() / TICKS_PER_MS + " ms"
                : "no submits";
        return "replicas: " + placement.replicationFactor() + " copies among " + gateways + " gateways, " + sessions
                + ", " + outcomes + (gateways > 1 ? ", catching up" : "");
    }

    /**
     * Returns the key of a session or of a write.
     *
     * @param isSession whether it is the key of a session
     * @param identifier the session's name, or the write's idempotency key
     */
    public static long key(boolean isSession, String identifier) {
        return Hashing.key(isSession, identifier);
    }

    /**
     * Called when the Unix clock turned out to be wrong: entries replicated to this gateway so far count as lost
     * until peers have returned them.
     */
    public void onClockCorrected() {
        bound.setStartedAt(unixClock.getAsLong() + settings.maxClockDifference());
    }

    /** Sets the incarnation of this gateway; responses to requests of an earlier one are ignored from then on. */
    public void setIncarnation(long incarnation) {
        this.incarnation = incarnation;
    }

    private Turn turn(long now, PacketQueue queue) {
        return new Turn(now, unixClock.getAsLong(), queue);
    }

    /**
     * Replicates the log position of a session's last write.
     *
     * @param server number of the server that executed the write
     * @param timeout in tenths of a millisecond; applies only if the result is awaited
     * @param awaited whether the result is reported
     * @return a ticket whose result is REPLICATED or UNKNOWN, or 0 if the result is not awaited
     */
    public long writePosition(
            long now, long key, long position, int server, long timeout, boolean awaited, PacketQueue queue) {
        Turn turn = turn(now, queue);
        // A position wrongly in the future would send the session's reads to the primary until that time.
        long boundedPosition = Math.min(position, turn.unixTime() + settings.maxClockDifference());
        return coordinator.write(turn, key, new Position(boundedPosition, server & 0xFFFF), timeout, awaited);
    }

    /**
     * Replicates what is proven of a claim that was granted to this gateway. Without a proof the write stays in
     * doubt. The other parameters and the ticket are as of {@link #writePosition}.
     *
     * @param response the response of a write that was executed, otherwise empty
     */
    public long writeOutcome(
            long now,
            long key,
            ClaimId claim,
            ClaimState proof,
            byte[] response,
            long timeout,
            boolean awaited,
            PacketQueue queue) {
        return coordinator.writeOutcome(turn(now, queue), key, claim, proof, response, timeout, awaited);
    }

    /**
     * Reads the position that a session's reads must reach.
     *
     * @return a ticket whose result is POSITION_KNOWN or UNKNOWN
     */
    public long readPosition(long now, long key, PacketQueue queue) {
        return coordinator.readPosition(turn(now, queue), key);
    }

    /**
     * Claims to execute a write.
     *
     * @param firstSubmission whether the client has marked the write as a first submission
     * @param arrivedAt when the write arrived here, a Unix time
     * @return a ticket whose result is GRANTED, what is known of an earlier claim, or UNKNOWN if too many operations
     *     are pending
     */
    public long claimWrite(long now, long key, boolean firstSubmission, long arrivedAt, PacketQueue queue) {
        return coordinator.claim(turn(now, queue), key, incarnation, firstSubmission, arrivedAt);
    }

    /** Returns the results since the last call, in the order in which the operations completed. */
    public List<QuorumResult> takeResults() {
        return coordinator.takeResults();
    }

    /**
     * Handles a message of another gateway. Ignores parts of other kinds, and responses to an earlier incarnation.
     */
    public void onMessage(long now, int sender, long senderIncarnation, Part part, PacketQueue queue) {
        ReplicationMessage message = ReplicationMessageDecoder.decode(part);
        if (message == null || isForAnotherIncarnation(message)) {
            return;
        }
        message.accept(new ReplicationMessageDispatcher(
                turn(now, queue),
                new Peer(sender, senderIncarnation),
                localReplica,
                coordinator,
                antiEntropy,
                antiEntropyResponder,
                bound));
    }

    private boolean isForAnotherIncarnation(ReplicationMessage message) {
        return message instanceof ReplicationMessage.Response response
                && response.requesterIncarnation() != incarnation;
    }

    /**
     * Does the periodic work: timeouts, retries, removal of expired entries, and anti-entropy.
     *
     * @param isAlive whether a gateway is alive as far as this one knows
     */
    public void onTick(long now, IntPredicate isAlive, PacketQueue queue) {
        Turn turn = turn(now, queue);
        coordinator.onTick(turn);
        store.sweep(turn.unixTime());
        antiEntropy.onTick(turn, isAlive);
    }

    /** Returns the lines to be logged since the last call; each begins with its kind and a colon. */
    public List<String> takeLogLines() {
        List<String> taken = List.copyOf(logLines);
        logLines.clear();
        return taken;
    }

    /** Returns a log line with all counters. */
    public String statistics() {
        return "replicas: holds " + store.size() + " facts, " + store.evicted() + " forgotten for want of room, "
                + coordinator.readsAndClaims() + " asked, " + coordinator.unknownReads() + " of them unknown, "
                + antiEntropy.entriesReceived() + " taken from others, " + localReplica.alarms() + " alarms";
    }

    /** Returns the number of entries in this gateway's store. */
    public int size() {
        return store.size();
    }

    /**
     * Returns a digest of the entries that this gateway and a peer both replicate and that are not expired at a Unix
     * time. If both gateways hold the same entries, their digests are equal.
     */
    public long digest(int peer, long unexpiredAt) {
        return store.digest(0, EntryStore.RANGES, new EntryStore.SharedEntries(self, peer, unexpiredAt), 0);
    }

    /**
     * Returns a description in which any two states differ that a model checker has to distinguish, provided that only
     * one key is in use.
     */
    public String describeState(long key) {
        StringBuilder text = new StringBuilder().append(store.get(key));
        text.append(' ').append(bound.of(placement.of(key)));
        coordinator.describe(text);
        return text.toString();
    }
}
