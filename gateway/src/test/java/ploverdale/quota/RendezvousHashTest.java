package ploverdale.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which gateway succeeds an absent one. */
class RendezvousHashTest {
    private static final int GATEWAYS = 10;

    private static int successor(int partition, Set<Integer> absent) {
        return RendezvousHash.successor(partition, GATEWAYS, gateway -> !absent.contains(gateway))
                .orElseThrow();
    }

    @Test
    void isNeitherThePartitionsOwnGatewayNorAnAbsentOne() {
        for (int partition = 0; partition < GATEWAYS; partition++) {
            int first = successor(partition, Set.of());
            assertThat(first).isNotEqualTo(partition);
            assertThat(successor(partition, Set.of(first))).isNotIn(partition, first);
        }
    }

    @Test
    void staysTheSameWhereAnotherGatewayBecomesAbsent() {
        for (int partition = 0; partition < GATEWAYS; partition++) {
            int first = successor(partition, Set.of());
            for (int other = 0; other < GATEWAYS; other++) {
                if (other != first) {
                    assertThat(successor(partition, Set.of(other))).isEqualTo(first);
                }
            }
        }
    }

    @Test
    void differsBetweenPartitions() {
        Set<Integer> successors = new HashSet<>();
        for (int partition = 0; partition < GATEWAYS; partition++) {
            successors.add(successor(partition, Set.of()));
        }
        assertThat(successors).hasSizeGreaterThan(2);
    }

    @Test
    void isMissingWhereNoOtherGatewayIsAlive() {
        assertThat(RendezvousHash.successor(3, GATEWAYS, gateway -> gateway == 3))
                .isEmpty();
    }
}
