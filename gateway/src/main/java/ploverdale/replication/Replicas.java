package ploverdale.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import ploverdale.membership.Packet.Part;
import ploverdale.membership.PacketQueue;

/**
 * One gateway's part of the replicated state: session positions and write outcomes, each on a few gateways of the fleet. An
 * entry is written to the replicas of its key, a read or a claim asks all of them, and a majority decides ({@link
 * QuorumCoordinator}; quorums after Gifford, 1979, placement and eventual repair as in Dynamo, 2007). Replicas that missed
 * a write receive it by anti-entropy ({@link AntiEntropy}). A replica answers with its own entry, and no less than the
 * time up to which it may lack entries ({@link CompletenessBound}). So one that started empty never takes what it does not
 * know for absent, and the loss of all replicas costs only reads that go to the primary for a while. Messages may be
 * lost, duplicated, late or reordered.
 *
 * <p>{@code now} is in tenths of a millisecond of a monotonic clock; positions and timestamps of entries are Unix times in
 * the same unit. Not thread-safe: used on the event loop only.
 */
public final class Replicas {
    private static final long MS = 10;

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
     * @param self this gateway's number
     * @param gateways number of gateways of the fleet, alive or not
     * @param incarnation of this gateway's process
     * @param random chooses peers of anti-entropy, and salts of digests
     * @param unixClock in tenths of a millisecond
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
                ? "sessions for " + settings.sessionRetention() / MS + " ms"
                : "no sessions";
        String submits = settings.replicatesOutcomes()
                ? "submits for " + settings.resubmissionWindow() / MS + " ms"
                : "no submits";
        return "replicas: " + placement.replicationFactor() + " copies among " + gateways + " gateways, " + sessions
                + ", " + submits + (gateways > 1 ? ", catching up" : "");
    }

    /**
     * The key of a session or of a write.
     *
     * @param session whether it is a session's
     * @param text the session's name, or the write's idempotency key
     */
    public static long key(boolean session, String text) {
        return Hashing.key(session, text);
    }

    /** The Unix clock was wrong: what was replicated here until now counts as lost. */
    public void onClockCorrected() {
        bound.restartAt(unixClock.getAsLong() + settings.maxClockDifference());
    }

    /** The incarnation of this gateway from now on. */
    public void setIncarnation(long incarnation) {
        this.incarnation = incarnation;
    }

    private Turn turn(long now, PacketQueue queue) {
        return new Turn(now, unixClock.getAsLong(), queue);
    }

    /**
     * Replicates the position of a session's last write, which a server of that number executed.
     *
     * @param timeout in tenths of a millisecond; of use only where the result is awaited
     * @param awaited whether the result is reported
     * @return a ticket whose result is REPLICATED or UNKNOWN, or 0 where it is not awaited
     */
    public long writePosition(
            long now, long key, long position, int server, long timeout, boolean awaited, PacketQueue queue) {
        Turn turn = turn(now, queue);
        // A position that is wrongly in the future would force the session's reads to the primary until then.
        long bounded = Math.min(position, turn.unixTime() + settings.maxClockDifference());
        return coordinator.write(turn, key, new Position(bounded, server & 0xFFFF), timeout, awaited);
    }

    /**
     * Replicates what is proven of a claim that was granted here; where nothing is, the write stays in doubt. The other
     * parameters and the ticket are as of {@link #writePosition}.
     *
     * @param response the response of a write that was executed, else empty
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

    /** Reads the position that a session's reads must reach; the result of its ticket is POSITION_KNOWN or UNKNOWN. */
    public long readPosition(long now, long key, PacketQueue queue) {
        return coordinator.readPosition(turn(now, queue), key);
    }

    /**
     * Claims to execute a write; the result of its ticket is GRANTED, or what is known of an earlier claim.
     *
     * @param firstSubmission whether its client has marked it as a first submission
     * @param arrivedAt when it arrived here, a Unix time
     */
    public long claimWrite(long now, long key, boolean firstSubmission, long arrivedAt, PacketQueue queue) {
        return coordinator.claim(turn(now, queue), key, incarnation, firstSubmission, arrivedAt);
    }

    /** Results since the last call, in the order in which the operations ended. */
    public List<QuorumResult> takeResults() {
        return coordinator.takeResults();
    }

    /** Handles a message of another gateway; ignores parts of other kinds. */
    public void onMessage(long now, int from, long senderIncarnation, Part part, PacketQueue queue) {
        ReplicationMessage message = ReplicationMessageDecoder.decode(part);
        if (message == null || isForAnotherIncarnation(message)) {
            return;
        }
        message.accept(new ReplicationMessageDispatcher(
                turn(now, queue),
                new Peer(from, senderIncarnation),
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
     * Does the periodic work.
     *
     * @param isAlive whether a gateway is alive as far as this one knows
     */
    public void onTick(long now, IntPredicate isAlive, PacketQueue queue) {
        Turn turn = turn(now, queue);
        coordinator.onTick(turn);
        store.sweep(turn.unixTime());
        antiEntropy.onTick(turn, isAlive);
    }

    /** What is to be logged since the last call; each line begins with its kind and a colon. */
    public List<String> takeLogLines() {
        List<String> taken = List.copyOf(logLines);
        logLines.clear();
        return taken;
    }

    /** A line of all figures. */
    public String statistics() {
        return "replicas: holds " + store.size() + " facts, " + store.evicted() + " forgotten for want of room, "
                + coordinator.requested() + " asked, " + coordinator.unknownReads() + " of them unknown, "
                + antiEntropy.received() + " taken from others, " + localReplica.alarms() + " alarms";
    }

    /** Entries in this gateway's store. */
    public int size() {
        return store.size();
    }

    /**
     * A digest of all entries that this gateway and another both replicate and that are not expired at a Unix time; equal
     * where their entries are.
     */
    public long digest(int peer, long unexpiredAt) {
        return store.digest(0, EntryStore.RANGES, new EntryStore.SharedEntries(self, peer, unexpiredAt), 0);
    }

    /** All that tells two states apart where one key is all there is, for a model checker. */
    public String describeState(long key) {
        StringBuilder text = new StringBuilder().append(store.get(key));
        text.append(' ').append(bound.of(placement.of(key)));
        coordinator.describe(text);
        return text.toString();
    }
}
