package ploverdale.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the order in which clients take turns. */
class FairQueueTest {
    private final FairQueue<String> queue = new FairQueue<>();

    @Test
    void aClientWithNewInputGoesBeforeAllBackloggedClients() {
        queue.addBacklogged("flood 1");
        queue.addBacklogged("flood 2");
        queue.add("polite");
        assertThat(queue.poll()).isEqualTo("polite");
        assertThat(queue.poll()).isEqualTo("flood 1");
        assertThat(queue.poll()).isEqualTo("flood 2");
        assertThat(queue.poll()).isNull();
        assertThat(queue.isEmpty()).isTrue();
    }

    @Test
    void backloggedClientsTakeTurns() {
        queue.addBacklogged("a");
        queue.addBacklogged("b");
        for (int i = 0; i < 3; i++) {
            assertThat(queue.poll()).isEqualTo("a");
            queue.addBacklogged("a");
            assertThat(queue.poll()).isEqualTo("b");
            queue.addBacklogged("b");
        }
        assertThat(queue.backlogged()).isEqualTo(2);
    }

    @Test
    void newInputDoesNotBringABackloggedClientForward() {
        queue.addBacklogged("a");
        queue.addBacklogged("b");
        queue.add("b");
        assertThat(queue.isBacklogged("b")).isTrue();
        assertThat(queue.poll()).isEqualTo("a");
        assertThat(queue.poll()).isEqualTo("b");
        assertThat(queue.poll()).isNull();
    }

    /** Regression test for reading on from a client that waits for its first turn: it may wait for long. */
    @Test
    void aClientIsInTheQueueUntilItsTurnWhetherItIsBackloggedOrNot() {
        queue.add("new");
        queue.addBacklogged("backlogged");
        assertThat(queue.contains("new")).isTrue();
        assertThat(queue.contains("backlogged")).isTrue();
        queue.poll();
        assertThat(queue.contains("new")).isFalse();
        queue.poll();
        assertThat(queue.contains("backlogged")).isFalse();
    }

    @Test
    void aClientThatUsedUpItsQuantumIsInTheQueueOnce() {
        queue.add("a");
        queue.addBacklogged("a");
        assertThat(queue.poll()).isEqualTo("a");
        assertThat(queue.poll()).isNull();
    }

    @Test
    void aRemovedClientHasNoTurn() {
        queue.add("a");
        queue.addBacklogged("b");
        queue.remove("a");
        queue.remove("b");
        assertThat(queue.poll()).isNull();
    }
}
