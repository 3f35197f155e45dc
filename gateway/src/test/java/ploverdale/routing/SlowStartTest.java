package ploverdale.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ploverdale.model.GroupId;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.ServerId;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ServerState;

/** Tests {@link SlowStart} of one recovering server, alone or with servers past slow start, over many gateways. */
class SlowStartTest {
    private static final long TICKS_PER_MS = 10;
    private static final long WINDOW = 1000 * TICKS_PER_MS;
    private static final double WORK = 80 * TICKS_PER_MS;
    /** Requests per window that the server withstands right after its start. */
    private static final double BUDGET = 20;
    private static final double ALLOWED_REQUESTS = BUDGET + 3 * Math.sqrt(BUDGET) + 3;
    /** Agreed requests per window and server. */
    private static final double AGREED_PER_SERVER = 40;
    /** Slow start lasts so long that the server's capacity hardly changes during a test. */
    private static final ServerGuarantees GUARANTEES =
            new ServerGuarantees(0.25, 10_000 * WINDOW, 2, WINDOW, true, 0);
    private static final long STARTED_AT = 100 * WINDOW;
    private static final long SEED = 11;

    /** The slow start of one gateway, which knows a recovering server and a given number of servers past slow start. */
    private static final class Gateway {
        final List<ServerState> servers = new ArrayList<>();
        final ServerState recovering =
                new ServerState(new ServerId("recovering"), new ReplicaGroup(new GroupId(1)), 24);
        final SlowStart slowStart;

        Gateway(int number, int gateways, int serversPastSlowStart) {
            recovering.slowStart().recordColdStart(STARTED_AT);
            servers.add(recovering);
            for (int i = 0; i < serversPastSlowStart; i++) {
                servers.add(new ServerState(new ServerId("other" + i), recovering.group(), 24));
            }
            double agreed = AGREED_PER_SERVER * servers.size();
            slowStart = new SlowStart(GUARANTEES, gateways, agreed, new SplittableRandom(SEED + number));
        }

        /** Tries to send a number of requests at the same time and returns how many were admitted. */
        int send(int requests, long now) {
            int sent = 0;
            for (int i = 0; i < requests; i++) {
                if (slowStart.admits(recovering, WORK, WORK, servers, now)) {
                    slowStart.recordAttempt(recovering, WORK, now);
                    sent++;
                }
            }
            return sent;
        }
    }

    private static List<Gateway> fleet(int gateways, int serversPastSlowStart) {
        System.out.println("seed " + SEED);
        List<Gateway> fleet = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            fleet.add(new Gateway(i, gateways, serversPastSlowStart));
        }
        return fleet;
    }

    /** Returns how many requests the fleet sends in a window if every gateway tries to send as many as it can. */
    private static int sentInAWindow(List<Gateway> fleet, long from) {
        int sent = 0;
        for (long now = from; now < from + WINDOW; now += 20 * TICKS_PER_MS) {
            for (Gateway gateway : fleet) {
                sent += gateway.send(2, now);
            }
        }
        return sent;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 6, 30, 100})
    void aBurstAfterALongIdleTimeStaysWithinTheBudgetOverAllGateways(int gateways) {
        List<Gateway> fleet = fleet(gateways, 0);
        fleet.forEach(gateway -> gateway.send(1, STARTED_AT + WINDOW));
        assertThat(sentInAWindow(fleet, STARTED_AT + 20 * WINDOW)).isBetween((int) BUDGET / 4, (int) ALLOWED_REQUESTS);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 6, 30, 100})
    void withoutAServerPastSlowStartTheFleetSendsAPartOfTheAgreedTraffic(int gateways) {
        List<Gateway> fleet = fleet(gateways, 0);
        int sent = 0;
        for (int window = 1; window <= 10; window++) {
            sent += sentInAWindow(fleet, STARTED_AT + window * WINDOW);
        }
        assertThat(sent / 10.0).isBetween(BUDGET / 3, BUDGET);
    }

    @Test
    void whileOtherServersAreIdleARecoveringPrimaryStillGetsItsWrites() {
        List<Gateway> fleet = fleet(6, 2);
        assertThat(sentInAWindow(fleet, STARTED_AT + 5 * WINDOW)).isBetween((int) BUDGET / 5, (int) BUDGET);
    }

    @Test
    void aGatewayThatSendsMoreToOtherServersSendsMoreToARecoveringOne() {
        Gateway busy = new Gateway(1, 6, 2);
        Gateway idle = new Gateway(1, 6, 2);
        for (ServerState server : busy.servers.subList(1, 3)) {
            busy.slowStart.recordAnswer(server, AGREED_PER_SERVER * WORK / 2, STARTED_AT + 5 * WINDOW);
        }
        int sentByBusy = sentInAWindow(List.of(busy), STARTED_AT + 5 * WINDOW);
        assertThat(sentByBusy).isGreaterThan(2 * sentInAWindow(List.of(idle), STARTED_AT + 5 * WINDOW));
    }

    @Test
    void furtherAttemptsAndHealthChecksAreChargedToLaterRequests() {
        Gateway uncharged = new Gateway(1, 1, 0);
        Gateway charged = new Gateway(1, 1, 0);
        uncharged.send(1, STARTED_AT + WINDOW);
        charged.send(1, STARTED_AT + WINDOW);
        charged.slowStart.recordAttempt(charged.recovering, 3 * WORK, STARTED_AT + WINDOW);
        for (int i = 0; i < 4; i++) {
            charged.slowStart.recordHealthCheckAnswer(charged.recovering, (long) WORK / 4, STARTED_AT + WINDOW);
        }
        int sentByUncharged = sentInAWindow(List.of(uncharged), STARTED_AT + WINDOW);
        assertThat(sentInAWindow(List.of(charged), STARTED_AT + WINDOW)).isBetween(sentByUncharged - 5, sentByUncharged - 3);
    }

    @Test
    void aLaterStartTimeNeitherFillsTheBucketNorResetsWhatWasSent() {
        Gateway gateway = new Gateway(1, 1, 0);
        int sent = gateway.send(100, STARTED_AT + WINDOW);
        // A peer has dated the same start a little later.
        gateway.recovering.slowStart().recordColdStart(STARTED_AT + WINDOW + TICKS_PER_MS);
        assertThat(sent).isPositive();
        assertThat(gateway.send(100, STARTED_AT + WINDOW + 2 * TICKS_PER_MS)).isZero();
    }

    @Test
    void aServerPastSlowStartGetsAllRequests() {
        Gateway gateway = new Gateway(1, 100, 0);
        assertThat(gateway.send(1000, STARTED_AT + 20_000 * WINDOW)).isEqualTo(1000);
    }
}
