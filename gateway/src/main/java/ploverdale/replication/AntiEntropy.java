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
 * Pulls the entries that this gateway lacks from its peers (pull anti-entropy, Demers et al., 1987), in rounds with one peer
 * at a time. A round descends the tree of {@link KeySpaceNode}s that differ and fetches the entries of the leaves. After a
 * start there is a round with each peer, then one every second with the next peer in turn. Requests are repeated until
 * answered; a round with a peer that restarted meanwhile begins anew.
 *
 * <pre>
 * state        event                                       next state   action
 * IDLE         tick, a round is due and a peer alive       CONTACTING   choose a peer, draw a salt, begin at the root
 * CONTACTING   response of the peer                        EXCHANGING   remember its incarnation, handle the response
 * EXCHANGING   response of the same incarnation            EXCHANGING   handle the response, send further requests
 * EXCHANGING   response of another incarnation             CONTACTING   draw a salt, begin at the root again
 * EXCHANGING   no node left and none in flight             IDLE         mark the peer as synchronized
 * any but IDLE tick, the peer is dead or silent for 3 s    IDLE         drop what is left of the round
 * </pre>
 *
 * <p>Times in tenths of a millisecond, of a monotonic clock unless they are said to be Unix times. Not thread-safe, used on
 * the thread of {@link Replicas}.
 */
final class AntiEntropy {
    /** Where a round stands. */
    private enum State {
        /** No round. */
        IDLE,
        /** Requests were sent; the peer's incarnation is not known yet. */
        CONTACTING,
        /** The peer has answered. */
        EXCHANGING
    }

    private static final long MS = 10;
    private static final long ROUND_INTERVAL = 1000 * MS;
    private static final long RETRY_AFTER = 150 * MS;
    private static final long PEER_TIMEOUT = 3000 * MS; // other peers are waiting for their round
    private static final int MAX_IN_FLIGHT = 4;
    /** Entries from which on a round begins below the root, whose digests would take long to compute at once. */
    private static final int LARGE_STORE = 20_000;
    /** Entries that expire within this are left out, since gateways remove them at slightly different times. */
    private static final long EXPIRY_MARGIN = 1000 * MS;
    /** Share of the budget of bytes that is left to messages that requests of clients wait for. */
    private static final double RESERVED_BUDGET = 0.5;

    private static final int NO_PEER = -1;

    /**
     * A node that is still to be compared, or a leaf whose entries are still to be fetched.
     *
     * @param afterKey of a leaf, the last key fetched, or null
     */
    private record Task(KeySpaceNode node, Long afterKey) {}

    /** A request in flight, by its task and when it was sent last. */
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
    private final Map<Integer, InFlight> inFlight = new LinkedHashMap<>(); // by number, oldest first
    private int lastNumber;
    private long received;

    /**
     * @param random chooses peers and salts
     * @param log takes lines for the log
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

    /** The time at which entries must not be expired to take part in a comparison, a Unix time. */
    static long unexpiredAt(Turn turn) {
        return turn.unixTime() + EXPIRY_MARGIN;
    }

    /** Entries received since the start that changed this gateway's store. */
    long received() {
        return received;
    }

    /** Begins, continues or gives up a round. */
    void onTick(Turn turn, IntPredicate isAlive) {
        if (state != State.IDLE && (!isAlive.test(peer) || isSilent(turn))) {
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

    private boolean isSilent(Turn turn) {
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

    /** Sends further requests within the bounds, or completes the round. */
    private void continueRound(Turn turn) {
        while (inFlight.size() < MAX_IN_FLIGHT && !tasks.isEmpty() && turn.budgetLeft() > RESERVED_BUDGET) {
            int number = ++lastNumber;
            Task task = tasks.pollLast(); // depth first, so that few tasks are open at any time
            inFlight.put(number, new InFlight(task, turn.now()));
            send(turn, number, task);
        }
        if (inFlight.isEmpty() && tasks.isEmpty()) {
            completeRound(turn);
        }
    }

    private void completeRound(Turn turn) {
        if (peers.markSynchronized(peer, peerMissingUntil)) {
            log.accept("replicas: caught up with all others, " + store.size() + " facts held, " + received
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
        long[] own = digests.ofChildren(node, peer, salt, unexpiredAt);
        turn.send(peer, new DigestRequest(number, node, salt, unexpiredAt, own));
    }

    /** Descends into the children that differ. */
    void onDigestResponse(Turn turn, Peer sender, DigestResponse response) {
        Task task = takeAnswered(turn, sender, response.number());
        if (task == null || task.node.isLeaf()) {
            return;
        }
        peerMissingUntil = Math.max(peerMissingUntil, response.missingUntil());
        response.differing().stream().forEach(child -> tasks.add(new Task(task.node.child(child), null)));
        continueRound(turn);
    }

    /** Merges the entries received. */
    void onEntriesResponse(Turn turn, Peer sender, EntriesResponse response) {
        Task task = takeAnswered(turn, sender, response.number());
        if (task == null || !task.node.isLeaf()) {
            return;
        }
        List<KeyedEntry> entries = response.entries();
        for (KeyedEntry keyed : entries) {
            if (store.merge(turn.unixTime(), keyed.key(), keyed.entry())) {
                received++;
            }
        }
        if (response.more() && !entries.isEmpty()) {
            long lastKey = entries.get(entries.size() - 1).key();
            tasks.add(new Task(task.node, lastKey));
        }
        continueRound(turn);
    }

    /** The task that a response belongs to; null where it belongs to none of this round. */
    private Task takeAnswered(Turn turn, Peer sender, int number) {
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
