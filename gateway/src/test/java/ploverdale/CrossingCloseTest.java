package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks requests that cross the close of an idle connection: the client sends while the gateway closes. Whatever made
 * the gateway close, it must not forward a request that its client gets no answer to.
 */
@Timeout(120)
class CrossingCloseTest {
    private static final int CLIENTS = 20; // with 64 descriptors, so many idle connections are evicted soon
    private static final int FEW_DESCRIPTORS = 64;
    private static final int MANY_DESCRIPTORS = 512;
    private static final long DURATION_MS = 5000;
    private static final int MIN_IDLE_MS = 90; // idle connections are evicted after 100 ms if there are many
    private static final int MAX_IDLE_MS = 140;

    /** Why the gateway closes idle connections. */
    enum CloseCause {
        EVICTION,
        FEWER_DESCRIPTORS,
        GRACEFUL_SHUTDOWN
    }

    /** Clients that send a request, idle and send again, each on its own thread, until {@link #stop}. */
    private static final class IdlingClients {
        final List<String> unanswered = new CopyOnWriteArrayList<>();
        final AtomicInteger answered = new AtomicInteger();
        private final int port;
        private final List<Thread> threads = new ArrayList<>();
        private final AtomicInteger ids = new AtomicInteger(0x1000);
        private volatile boolean stopped;

        IdlingClients(int port, long seed) {
            this.port = port;
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < CLIENTS; i++) {
                SplittableRandom clientRandom = random.split();
                Thread thread = new Thread(() -> run(clientRandom), "idling-client-" + i);
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
        }

        private void run(SplittableRandom random) {
            while (!stopped) {
                try (TestClient client = new TestClient(port).completeStartup()) {
                    session(client, random);
                } catch (IOException | AssertionError e) {
                    Thread.onSpinWait(); // the connection was refused or reset; the loop opens another one
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private void session(TestClient client, SplittableRandom random) throws InterruptedException {
            boolean open = true;
            while (open && !stopped) {
                Thread.sleep(random.nextInt(MIN_IDLE_MS, MAX_IDLE_MS));
                String id = Integer.toHexString(ids.getAndIncrement());
                open = ask(client, id);
            }
        }

        private boolean ask(TestClient client, String id) {
            String answer;
            try {
                answer = client.sendQuery("INSERT INTO state (uid, val) VALUES ('k', '\\x01') RETURNING val /* id=" + id
                                + ",c=order,t=north,d=4000,cluster=1 */")
                        .readResponse();
            } catch (IOException e) {
                answer = "closed";
            }
            if (answer.endsWith("ready")) {
                answered.incrementAndGet();
                return true;
            }
            unanswered.add(id);
            return false;
        }

        void stop() throws InterruptedException {
            stopped = true;
            for (Thread thread : threads) {
                thread.join(TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
            }
        }
    }

    @ParameterizedTest
    @EnumSource(CloseCause.class)
    void noUnansweredRequestWasForwarded(CloseCause cause) throws Exception {
        long seed = System.nanoTime();
        System.out.println("CrossingCloseTest " + cause + " seed " + seed);
        int descriptors = cause == CloseCause.EVICTION ? FEW_DESCRIPTORS : MANY_DESCRIPTORS;
        try (GatewayTestFixture net =
                        new GatewayTestFixture("p", "r1").answerReads().start(descriptors, 30_000);
                AnsweringServer answers =
                        new AnsweringServer(net.servers.get("p"), query -> query.sendRow(new byte[] {7}))) {
            IdlingClients clients = new IdlingClients(net.gateway.port(), seed);
            Thread.sleep(DURATION_MS / 2);
            CountDownLatch shutdownEnded = new CountDownLatch(1);
            if (cause == CloseCause.FEWER_DESCRIPTORS) {
                net.reloadConfiguration(FEW_DESCRIPTORS);
            } else if (cause == CloseCause.GRACEFUL_SHUTDOWN) {
                net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(shutdownEnded));
                assertThat(shutdownEnded.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                        .as(net::log)
                        .isTrue();
            }
            Thread.sleep(DURATION_MS / 2);
            clients.stop();
            assertThat(clients.answered).as(net::log).hasValueGreaterThan(CLIENTS);
            assertThat(clients.unanswered).as("requests that crossed a close").isNotEmpty();
            assertThat(clients.unanswered)
                    .allSatisfy(id -> assertThat(answers.attempts(id))
                            .as("attempts of %s, seed %d:\n%s", id, seed, net.log())
                            .isZero());
        }
    }
}
