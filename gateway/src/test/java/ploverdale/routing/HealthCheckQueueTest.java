package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import ploverdale.model.GroupId;
import ploverdale.model.ServerId;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ServerState;

/** The order of queued health checks, and the bound on how many are in flight. */
class HealthCheckQueueTest {
    private final HealthCheckQueue queue = new HealthCheckQueue();
    private final ReplicaGroup group = new ReplicaGroup(new GroupId(1));

    private ServerState server(int number) {
        return new ServerState(new ServerId("s" + number), group, 8);
    }

    @Test
    void serversAreTakenInOrderWhileFewerChecksThanTheLimitAreInFlight() {
        ServerState first = server(0);
        ServerState second = server(1);
        queue.add(first);
        queue.add(second);
        queue.add(first);
        for (int i = 0; i < HealthCheckQueue.MAX_IN_FLIGHT - 1; i++) {
            queue.sent(server(10 + i));
        }
        assertThat(queue.next()).isSameAs(first);
        queue.sent(first);
        assertThat(queue.next()).isNull();
        queue.ended();
        assertThat(queue.next()).isSameAs(second);
    }

    @Test
    void aServerThatWasCheckedMeanwhileIsNoLongerQueued() {
        ServerState server = server(0);
        queue.add(server);
        queue.sent(server);
        assertThat(queue.next()).isNull();
    }
}
