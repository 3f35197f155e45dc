package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ploverdale.model.Action;
import ploverdale.model.Event;
import ploverdale.model.GroupId;
import ploverdale.model.RequestClassId;
import ploverdale.model.RequestId;
import ploverdale.model.TenantId;

/** Tests that groups which clients name, but which have no servers, are forgotten. */
class UnknownGroupsTest {
    private static final int REQUESTS = 500;

    private final RouterDriver driver = RouterDriver.withCaughtUpReplicas();

    private RequestId request(int group) {
        RequestId id = new RequestId("u" + group);
        driver.deliver(new Event.RequestArrived(
                id,
                new RequestClassId(TestRouterSettings.UNBOUNDED_READ),
                new TenantId(0),
                new GroupId(group),
                null,
                (driver.nowMs + 300) * 10,
                false,
                0,
                0));
        return id;
    }

    @Test
    void noGroupIsKeptForARequestThatHasItsAnswer() {
        List<RequestId> requests = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            requests.add(request(1000 + i));
        }
        driver.advance(600);
        assertThat(requests).allSatisfy(id -> assertThat(driver.rejections(id)).isEqualTo(1));
        assertThat(driver.router.knownGroups()).isEqualTo(1);
    }

    @Test
    void noGroupIsKeptForARequestWhoseClientLeft() {
        for (int i = 0; i < REQUESTS; i++) {
            driver.deliver(new Event.ClientDisconnected(request(1000 + i)));
        }
        assertThat(driver.router.knownGroups()).isEqualTo(1);
        assertThat(driver.actions).noneMatch(action -> action instanceof Action.StartAttempt);
    }
}
