package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which gateway is selected as the successor of an absent one. */
class RendezvousHashTest {
    private static final int GATEWAYS = 10;

    private static int successor(int partition, Set<Integer> absent) {
        return RendezvousHash.successor(partition, GATEWAYS, gateway -> !absent.contains(gateway))
                .orElseThrow();
    }

    @Test
    void successorIsNeitherThePartitionsOwnGatewayNorAnAbsentOne() {
        for (int partition = 0; partition < GATEWAYS; partition++) {
            int expectedSuccessor = successor(partition, Set.of());
            assertThat(expectedSuccessor).isNotEqualTo(partition);
            assertThat(successor(partition, Set.of(expectedSuccessor))).isNotIn(partition, expectedSuccessor);
        }
    }

    @Test
    void successorStaysTheSameWhenAnotherGatewayBecomesAbsent() {
        for (int partition = 0; partition < GATEWAYS; partition++) {
            int expectedSuccessor = successor(partition, Set.of());
            for (int other = 0; other < GATEWAYS; other++) {
                if (other != expectedSuccessor) {
                    assertThat(successor(partition, Set.of(other))).isEqualTo(expectedSuccessor);
                }
            }
        }
    }

    @Test
    void partitionsHaveDifferentSuccessors() {
        Set<Integer> successors = new HashSet<>();
        for (int partition = 0; partition < GATEWAYS; partition++) {
            successors.add(successor(partition, Set.of()));
        }
        assertThat(successors).hasSizeGreaterThan(2);
    }

    @Test
    void thereIsNoSuccessorWhenNoOtherGatewayIsAlive() {
        assertThat(RendezvousHash.successor(3, GATEWAYS, gateway -> gateway == 3))
                .isEmpty();
    }
}
