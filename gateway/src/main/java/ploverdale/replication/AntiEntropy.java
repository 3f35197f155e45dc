package ploverdale.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.random.RandomGenerator;
import ploverdale.replication.ReplicationMessage.DigestRequest;
import ploverdale.replication.ReplicationMessage.DigestResponse;
import ploverdale.replication.ReplicationMessage.EntriesRequest;
import ploverdale.replication.ReplicationMessage.EntriesResponse;
import ploverdale.replication.ReplicationMessage.KeyedEntry;

/**
 * Fetches the entries that this gateway lacks from its peers (pull anti-entropy, Demers et al., 1987). It works in
 * rounds with one peer at a time. A round compares digests, descends the tree of {@link KeySpaceNode}s into the nodes
 * whose digests differ, and fetches the entries of the leaves that differ. Peers with which no round has been
 * completed since the start are chosen first, without a pause between rounds; after that a round begins one second
 * after the previous one ended, with the peers in turn. A request is sent again until it is answered. If the peer
 * restarts during a round, the round starts over.
 *
 * <pre>
 * state        event                                       next state   action
 * IDLE         tick, a round is due and a peer is alive    CONTACTING   choose a peer, draw a salt, start at the root
 * CONTACTING   response of the peer                        EXCHANGING   record its incarnation, handle the response
 * EXCHANGING   response of the same incarnation            EXCHANGING   handle the response, send further requests
 * EXCHANGING   response of another incarnation             CONTACTING   draw a salt, start at the root again
 * EXCHANGING   no task left and no request in flight       IDLE         mark the peer as synchronized
 * any but IDLE tick, peer dead or unresponsive for 3 s     IDLE         discard the rest of the round
 * </pre>
 *
 * <p>Times are in tenths of a millisecond of a monotonic clock, unless they are called Unix times. Not thread-safe:
 * used on the thread of {@link Replicas}.
 */
final class AntiEntropy {
    /** The state of the current round. */
    private enum State {
        /** No round is in progress. */
        IDLE,
        /** The first requests were sent; the peer's incarnation is not known yet. */
        CONTACTING,
        /** The peer has answered, and its incarnation is known. */
        EXCHANGING
    }

    private static final long TICKS_PER_MS = 10;
    private static final long ROUND_INTERVAL = 1000 * TICKS_PER_MS;
    private static final long RETRY_AFTER = 150 * TICKS_PER_MS;
    /** After this time without a response a round ends, so that one unresponsive peer does not delay the others. */
    private static final long PEER_TIMEOUT = 3000 * TICKS_PER_MS;

    private static final int MAX_IN_FLIGHT = 4;
    /**
     * From this number of entries on, a round starts with the children of the root: digests of the whole key space
     * would take too long to compute in one go.
     */
    private static final int LARGE_STORE = 20_000;
    /** Entries that expire within this time are left out, since gateways remove them at slightly different times. */
    private static final long EXPIRY_MARGIN = 1000 * TICKS_PER_MS;
    /** Share of the byte budget that rounds leave to messages on which client requests depend. */
    private static final double RESERVED_BUDGET = 0.5;

    private static final int NO_PEER = -1;

    /**
     * A node that is still to be compared, or a leaf whose entries are still to be fetched.
     *
     * @param afterKey of a leaf, the last key fetched so far; null before the first page and for inner nodes
     */
    private record Task(KeySpaceNode node, Long afterKey) {}

    /** A request that has not been answered, with the time at which it was last sent. */
    private record InFlight(Task task, long sentAt) {}

    private final EntryStore store;
    private final KeySpaceDigests digests;
    private final SynchronizedPeers peers;
    private final RandomGenerator random;
    private final Consumer<String> log;

    private State state = State.IDLE;
    private int peer = NO_PEER;
    private long peerIncarnation;
    private long peerMissingUntil;
    private int salt;
    private long lastResponseAt;
    private long nextRoundAt;
    private final Deque<Task> tasks = new ArrayDeque<>();
    private final Map<Integer, InFlight> inFlight = new LinkedHashMap<>(); // by request number, oldest first
    private int lastRequestNumber;
    private long entriesReceived;

    /**
     * @param random draws peers and salts
     * @param log receives lines for the log
     */
    AntiEntropy(
            EntryStore store,
            KeySpaceDigests digests,
            SynchronizedPeers peers,
            RandomGenerator random,
            Consumer<String> log) {
        this.store = store;
        this.digests = digests;
        this.peers = peers;
        this.random = random;
        this.log = log;
    }

    /** Returns the Unix time at which an entry must still be unexpired to take part in a comparison. */
    static long unexpiredAt(Turn turn) {
        return turn.unixTime() + EXPIRY_MARGIN;
    }

    /** Returns the number of entries received since the start that changed this gateway's store. */
    long entriesReceived() {
        return entriesReceived;
    }

    /**
     * Starts or continues a round, or ends one whose peer is dead or unresponsive.
     *
     * @param isAlive whether a gateway is alive as far as this one knows
     */
    void onTick(Turn turn, IntPredicate isAlive) {
        if (state != State.IDLE && (!isAlive.test(peer) || isUnresponsive(turn))) {
            endRound(turn);
        }
        if (state == State.IDLE) {
            beginRound(turn, isAlive);
        }
        if (state == State.IDLE) {
            return;
        }
        retryOverdue(turn);
        continueRound(turn);
    }

    private boolean isUnresponsive(Turn turn) {
        return turn.now() - lastResponseAt > PEER_TIMEOUT;
    }

    private void beginRound(Turn turn, IntPredicate isAlive) {
        List<Integer> candidates = peers.unsynchronized(isAlive);
        if (candidates.isEmpty() && turn.now() >= nextRoundAt) {
            candidates = peers.nextInTurn(isAlive);
        }
        if (candidates.isEmpty()) {
            return;
        }
        peer = candidates.get(random.nextInt(candidates.size()));
        lastResponseAt = turn.now();
        beginAtRoot();
    }

    private void beginAtRoot() {
        state = State.CONTACTING;
        peerMissingUntil = EntryStore.NOTHING_MISSING;
        salt = random.nextInt();
        tasks.clear();
        inFlight.clear();
        if (store.size() < LARGE_STORE) {
            tasks.add(new Task(KeySpaceNode.ROOT, null));
            return;
        }
        for (int child = 0; child < KeySpaceNode.CHILDREN; child++) {
            tasks.add(new Task(KeySpaceNode.ROOT.child(child), null));
        }
    }

    private void endRound(Turn turn) {
        state = State.IDLE;
        peer = NO_PEER;
        tasks.clear();
        inFlight.clear();
        nextRoundAt = turn.now() + ROUND_INTERVAL;
    }

    private void retryOverdue(Turn turn) {
        for (Map.Entry<Integer, InFlight> entry : inFlight.entrySet()) {
            InFlight request = entry.getValue();
            if (turn.now() - request.sentAt >= RETRY_AFTER) {
                entry.setValue(new InFlight(request.task, turn.now()));
                send(turn, entry.getKey(), request.task);
            }
        }
    }

    /** Sends further requests within the limits on requests in flight and bytes, or completes the round. */
    private void continueRound(Turn turn) {
        while (inFlight.size() < MAX_IN_FLIGHT && !tasks.isEmpty() && turn.budgetLeft() > RESERVED_BUDGET) {
            int number = ++lastRequestNumber;
            Task task = tasks.pollLast(); // depth first keeps the list of open tasks short
            inFlight.put(number, new InFlight(task, turn.now()));
            send(turn, number, task);
        }
        if (inFlight.isEmpty() && tasks.isEmpty()) {
            completeRound(turn);
        }
    }

    private void completeRound(Turn turn) {
        if (peers.markSynchronized(peer, peerMissingUntil)) {
            log.accept("replicas: caught up with all others, " + store.size() + " facts held, " + entriesReceived
                    + " of them from others");
        }
        endRound(turn);
    }

    private void send(Turn turn, int number, Task task) {
        KeySpaceNode node = task.node;
        if (node.isLeaf()) {
            turn.send(peer, new EntriesRequest(number, node.index(), task.afterKey));
            return;
        }
        long unexpiredAt = unexpiredAt(turn);
        long[] ownDigests = digests.ofChildren(node, peer, salt, unexpiredAt);
        turn.send(peer, new DigestRequest(number, node, salt, unexpiredAt, ownDigests));
    }

    /** Adds a task for each child whose digest differs. */
    void onDigestResponse(Turn turn, Peer sender, DigestResponse response) {
        Task task = takeAnsweredTask(turn, sender, response.number());
        if (task == null || task.node.isLeaf()) {
            return;
        }
        peerMissingUntil = Math.max(peerMissingUntil, response.missingUntil());
        response.differing().stream().forEach(child -> tasks.add(new Task(task.node.child(child), null)));
        continueRound(turn);
    }

    /** Merges the entries received into the store, and requests the next page if there is one. */
    void onEntriesResponse(Turn turn, Peer sender, EntriesResponse response) {
        Task task = takeAnsweredTask(turn, sender, response.number());
        if (task == null || !task.node.isLeaf()) {
            return;
        }
        List<KeyedEntry> entries = response.entries();
        for (KeyedEntry keyed : entries) {
            if (store.merge(turn.unixTime(), keyed.key(), keyed.entry())) {
                entriesReceived++;
            }
        }
        if (response.hasMore() && !entries.isEmpty()) {
            long lastKey = entries.get(entries.size() - 1).key();
            tasks.add(new Task(task.node, lastKey));
        }
        continueRound(turn);
    }

    /**
     * Removes the request that a response answers from those in flight.
     *
     * @return the task of the request; null if the response does not belong to the current round
     */
    private Task takeAnsweredTask(Turn turn, Peer sender, int number) {
        if (state == State.IDLE || sender.gateway() != peer) {
            return null;
        }
        if (state == State.EXCHANGING && sender.incarnation() != peerIncarnation) {
            beginAtRoot();
            return null;
        }
        state = State.EXCHANGING;
        peerIncarnation = sender.incarnation();
        lastResponseAt = turn.now();
        InFlight answered = inFlight.remove(number);
        return answered == null ? null : answered.task;
    }
}
