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
    private static final long MS = 10;
    private static final long WINDOW = 1000 * MS;
    private static final double WORK = 80 * MS;
    /** Requests per window that the server withstands right after its start. */
    private static final double BUDGET = 20;
    private static final double ALLOWED = BUDGET + 3 * Math.sqrt(BUDGET) + 3;
    /** Agreed requests per window and server. */
    private static final double AGREED_PER_SERVER = 40;
    /** Slow start lasts so long that the server's capacity hardly changes during a test. */
    private static final ServerGuarantees CONTRACT =
            new ServerGuarantees(0.25, 10_000 * WINDOW, 2, WINDOW, true, 0);
    private static final long STARTED = 100 * WINDOW;
    private static final long SEED = 11;

    /** The slow start of one gateway, which knows a recovering server and a given number of servers past slow start. */
    private static final class Gateway {
        final List<ServerState> servers = new ArrayList<>();
        final ServerState recovering =
                new ServerState(new ServerId("recovering"), new ReplicaGroup(new GroupId(1)), 24);
        final SlowStart slowStart;

        Gateway(int number, int gateways, int warmPeers) {
            recovering.slowStart().recordColdStart(STARTED);
            servers.add(recovering);
            for (int i = 0; i < warmPeers; i++) {
                servers.add(new ServerState(new ServerId("warm" + i), recovering.group(), 24));
            }
            double agreed = AGREED_PER_SERVER * servers.size();
            slowStart = new SlowStart(CONTRACT, gateways, agreed, new SplittableRandom(SEED + number));
        }

        /** Tries to send a number of requests at the same time and returns how many were admitted. */
        int send(int requests, long now) {
            int sent = 0;
            for (int i = 0; i < requests; i++) {
                if (slowStart.admits(recovering, WORK, WORK, servers, now)) {
                    slowStart.attempted(recovering, WORK, now);
                    sent++;
                }
            }
            return sent;
        }
    }

    private static List<Gateway> fleet(int gateways, int warmPeers) {
        System.out.println("seed " + SEED);
        List<Gateway> fleet = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            fleet.add(new Gateway(i, gateways, warmPeers));
        }
        return fleet;
    }

    /** Returns how many requests the fleet sends in a window if every gateway tries to send as many as it can. */
    private static int sentInAWindow(List<Gateway> fleet, long from) {
        int sent = 0;
        for (long now = from; now < from + WINDOW; now += 20 * MS) {
            for (Gateway gateway : fleet) {
                sent += gateway.send(2, now);
            }
        }
        return sent;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 6, 30, 100})
    void aBurstAfterALongQuietTimeStaysWithinTheBudgetOverAllGateways(int gateways) {
        List<Gateway> fleet = fleet(gateways, 0);
        fleet.forEach(g -> g.send(1, STARTED + WINDOW));
        assertThat(sentInAWindow(fleet, STARTED + 20 * WINDOW)).isBetween((int) BUDGET / 4, (int) ALLOWED);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 6, 30, 100})
    void withoutAWarmPeerTheFleetSendsAPartOfTheAgreedTraffic(int gateways) {
        List<Gateway> fleet = fleet(gateways, 0);
        int sent = 0;
        for (int window = 1; window <= 10; window++) {
            sent += sentInAWindow(fleet, STARTED + window * WINDOW);
        }
        assertThat(sent / 10.0).isBetween(BUDGET / 3, BUDGET);
    }

    @Test
    void whereWarmPeersAreIdleARecoveringPrimaryStillGetsItsWrites() {
        List<Gateway> fleet = fleet(6, 2);
        assertThat(sentInAWindow(fleet, STARTED + 5 * WINDOW)).isBetween((int) BUDGET / 5, (int) BUDGET);
    }

    @Test
    void aGatewayWhosePeersTakeMoreSendsMore() {
        Gateway busy = new Gateway(1, 6, 2);
        Gateway idle = new Gateway(1, 6, 2);
        for (ServerState peer : busy.servers.subList(1, 3)) {
            busy.slowStart.answered(peer, AGREED_PER_SERVER * WORK / 2, STARTED + 5 * WINDOW);
        }
        int sentByBusy = sentInAWindow(List.of(busy), STARTED + 5 * WINDOW);
        assertThat(sentByBusy).isGreaterThan(2 * sentInAWindow(List.of(idle), STARTED + 5 * WINDOW));
    }

    @Test
    void attemptsBeyondTheAdmittedAndAnsweredHealthChecksAreChargedToLaterRequests() {
        Gateway free = new Gateway(1, 1, 0);
        Gateway charged = new Gateway(1, 1, 0);
        free.send(1, STARTED + WINDOW);
        charged.send(1, STARTED + WINDOW);
        charged.slowStart.attempted(charged.recovering, 3 * WORK, STARTED + WINDOW);
        for (int i = 0; i < 4; i++) {
            charged.slowStart.healthCheckAnswered(charged.recovering, (long) WORK / 4, STARTED + WINDOW);
        }
        int freeSent = sentInAWindow(List.of(free), STARTED + WINDOW);
        assertThat(sentInAWindow(List.of(charged), STARTED + WINDOW)).isBetween(freeSent - 5, freeSent - 3);
    }

    @Test
    void aNewStartNeitherAddsToTheBucketNorForgivesWhatWasSent() {
        Gateway gateway = new Gateway(1, 1, 0);
        int sent = gateway.send(100, STARTED + WINDOW);
        gateway.recovering.slowStart().recordColdStart(STARTED + WINDOW + MS); // a peer dated the start later
        assertThat(sent).isPositive();
        assertThat(gateway.send(100, STARTED + WINDOW + 2 * MS)).isZero();
    }

    @Test
    void aWarmServerGetsAll() {
        Gateway gateway = new Gateway(1, 100, 0);
        assertThat(gateway.send(1000, STARTED + 20_000 * WINDOW)).isEqualTo(1000);
    }
}
