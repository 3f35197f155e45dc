package ploverdale.replication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import ploverdale.membership.PacketCodec;
import ploverdale.membership.PacketQueue;
import ploverdale.replication.ReplicationMessage.DigestRequest;
import ploverdale.replication.ReplicationMessage.DigestResponse;
import ploverdale.replication.ReplicationMessage.EntriesRequest;
import ploverdale.replication.ReplicationMessage.EntriesResponse;
import ploverdale.replication.ReplicationMessage.KeyedEntry;

/** Exercises each transition of the state table in {@link AntiEntropy}, observed by the messages that it sends. */
class AntiEntropyTest {
    private static final long MS = 10;
    private static final long UNIX_TIME = 17_000_000_000_000L;
    private static final int SELF = 0;
    private static final int PEER = 1;
    private static final long KEY = 0x1122334455667788L;
    private static final BitSet NONE_DIFFER = new BitSet();
    private static final ReplicationSettings SETTINGS =
            new ReplicationSettings(2, true, 200_000, 400, 80_000, true, Set.of(), 1000, 100, 500);

    private final EntryStore store = new EntryStore(SETTINGS, new ReplicaPlacement(2, 2));
    private final SynchronizedPeers peers = new SynchronizedPeers(SELF, 2);
    private final List<String> log = new ArrayList<>();
    private final AntiEntropy antiEntropy =
            new AntiEntropy(store, new KeySpaceDigests(SELF, store), peers, new SplittableRandom(1), log::add);
    private final PacketQueue queue = new PacketQueue(1e9, 0);
    private long now;

    private Turn turn() {
        return new Turn(now, UNIX_TIME + now, queue);
    }

    private void tick(boolean peerIsAlive) {
        antiEntropy.onTick(turn(), gateway -> peerIsAlive);
    }

    private List<ReplicationMessage> sent() {
        return queue.drain(now, 1, 1).stream()
                .flatMap(packet -> PacketCodec.decode(packet.bytes()).parts().stream())
                .map(ReplicationMessageDecoder::decode)
                .toList();
    }

    private DigestRequest sentDigestRequest() {
        return (DigestRequest) sent().get(0);
    }

    private void respond(int number, long incarnation, BitSet differing) {
        antiEntropy.onDigestResponse(
                turn(), new Peer(PEER, incarnation), new DigestResponse(1, number, differing, UNIX_TIME));
    }

    private static BitSet child(int index) {
        BitSet children = new BitSet();
        children.set(index);
        return children;
    }

    @Test
    void aRoundBeginsAtTheRootOnceThePeerIsAlive() {
        tick(false);
        assertThat(sent()).isEmpty();
        tick(true);
        assertThat(sentDigestRequest().node()).isEqualTo(KeySpaceNode.ROOT);
    }

    @Test
    void aRequestIsRepeatedUnderItsNumberUntilItIsAnswered() {
        tick(true);
        int number = sentDigestRequest().number();
        now += 149 * MS;
        tick(true);
        assertThat(sent()).isEmpty();
        now += MS;
        tick(true);
        assertThat(sentDigestRequest().number()).isEqualTo(number);
    }

    @Test
    void aRoundEndsWhenThePeerIsDeadOrUnresponsiveForThreeSeconds() {
        tick(true);
        DigestRequest first = sentDigestRequest();
        now += MS;
        tick(false);
        respond(first.number(), 7, child(3));
        assertThat(sent()).as("requests after a response to a discarded round").isEmpty();
        tick(true);
        DigestRequest second = sentDigestRequest();
        assertThat(second.number()).isGreaterThan(first.number());
        now += 3000 * MS + 1;
        tick(true);
        assertThat(sentDigestRequest().number())
                .as("number of a request of a new round, not of a repeated one")
                .isGreaterThan(second.number());
    }

    @Test
    void aRoundDescendsToTheRangesThatDifferAndFetchesTheirEntries() {
        tick(true);
        for (int digit : new int[] {1, 1, 2}) { // path from the root to range 0x112, which contains KEY
            respond(sentDigestRequest().number(), 7, child(digit));
        }
        EntriesRequest request = (EntriesRequest) sent().get(0);
        assertThat(request.range()).isEqualTo(0x112);
        List<KeyedEntry> entries = LongStream.range(0, 2)
                .mapToObj(key -> new KeyedEntry(KEY + key, new Position(UNIX_TIME, 1)))
                .toList();
        antiEntropy.onEntriesResponse(
                turn(), new Peer(PEER, 7), new EntriesResponse(1, request.number(), true, entries));
        EntriesRequest next = (EntriesRequest) sent().get(0);
        assertThat(next.afterKey()).isEqualTo(KEY + 1);
        antiEntropy.onEntriesResponse(
                turn(), new Peer(PEER, 7), new EntriesResponse(1, next.number(), false, List.of()));
        assertThat(store.size()).isEqualTo(2);
        assertThat(antiEntropy.entriesReceived()).isEqualTo(2);
        assertThat(peers.missingUntil(PEER)).isEqualTo(UNIX_TIME);
        assertThat(log).hasSize(1);
    }

    @Test
    void aRoundStartsOverWithAnotherSaltIfThePeerRestarts() {
        tick(true);
        DigestRequest rootRequest = sentDigestRequest();
        respond(rootRequest.number(), 7, child(1));
        respond(sentDigestRequest().number(), 8, child(1));
        assertThat(sent()).as("requests before the next tick").isEmpty();
        tick(true);
        DigestRequest firstAfterRestart = sentDigestRequest();
        assertThat(firstAfterRestart.node()).isEqualTo(KeySpaceNode.ROOT);
        assertThat(firstAfterRestart.salt()).isNotEqualTo(rootRequest.salt());
        assertThat(peers.missingUntil(PEER)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void theNextRoundBeginsASecondAfterThePeerIsSynchronized() {
        tick(true);
        respond(sentDigestRequest().number(), 7, NONE_DIFFER);
        assertThat(log).containsExactly("replicas: caught up with all others, 0 facts held, 0 of them from others");
        now += 999 * MS;
        tick(true);
        assertThat(sent()).isEmpty();
        now += MS;
        tick(true);
        assertThat(sentDigestRequest().node()).isEqualTo(KeySpaceNode.ROOT);
    }
}
