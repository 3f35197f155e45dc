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

/** Requests that cross the end of a resting connection: what was forwarded has an answer, whatever ends the connection. */
@Timeout(120)
class CrossingCloseTest {
    private static final int CLIENTS = 20; // more than are left idle for long among 64 descriptors
    private static final int FEW_DESCRIPTORS = 64;
    private static final int MANY_DESCRIPTORS = 512;
    private static final long PLAYS_MS = 5000;
    private static final int RESTS_LEAST_MS = 90; // idle connections end after 100 ms where there are many
    private static final int RESTS_MOST_MS = 140;

    /** What ends resting connections. */
    enum End {
        EVICTION,
        FEWER_DESCRIPTORS,
        GRACEFUL_SHUTDOWN
    }

    /** Clients that ask, rest and ask again, each on a thread of its own, until they are to stop. */
    private static final class RestingClients {
        final List<String> unanswered = new CopyOnWriteArrayList<>();
        final AtomicInteger answered = new AtomicInteger();
        private final int port;
        private final List<Thread> threads = new ArrayList<>();
        private final AtomicInteger ids = new AtomicInteger(0x1000);
        private volatile boolean stopped;

        RestingClients(int port, long seed) {
            this.port = port;
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < CLIENTS; i++) {
                SplittableRandom own = random.split();
                Thread thread = new Thread(() -> run(own), "resting-client-" + i);
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
                    Thread.onSpinWait(); // turned away or not let in; another connection is tried
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private void session(TestClient client, SplittableRandom random) throws InterruptedException {
            boolean open = true;
            while (open && !stopped) {
                Thread.sleep(random.nextInt(RESTS_LEAST_MS, RESTS_MOST_MS));
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
    @EnumSource(End.class)
    void whatWasForwardedHasAnAnswer(End end) throws Exception {
        long seed = System.nanoTime();
        System.out.println("CrossingCloseTest " + end + " seed " + seed);
        int descriptors = end == End.EVICTION ? FEW_DESCRIPTORS : MANY_DESCRIPTORS;
        try (GatewayTestFixture net =
                        new GatewayTestFixture("p", "r1").answerReads().start(descriptors, 30_000);
                AnsweringServer answers =
                        new AnsweringServer(net.servers.get("p"), query -> query.sendRow(new byte[] {7}))) {
            RestingClients clients = new RestingClients(net.gateway.port(), seed);
            Thread.sleep(PLAYS_MS / 2);
            CountDownLatch ended = new CountDownLatch(1);
            if (end == End.FEWER_DESCRIPTORS) {
                net.reloadConfiguration(FEW_DESCRIPTORS);
            } else if (end == End.GRACEFUL_SHUTDOWN) {
                net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
                assertThat(ended.await(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                        .as(net::log)
                        .isTrue();
            }
            Thread.sleep(PLAYS_MS / 2);
            clients.stop();
            assertThat(clients.answered).as(net::log).hasValueGreaterThan(CLIENTS);
            assertThat(clients.unanswered).as("some requests crossed an end").isNotEmpty();
            assertThat(clients.unanswered)
                    .allSatisfy(id -> assertThat(answers.attempts(id))
                            .as("attempts of %s, seed %d:\n%s", id, seed, net.log())
                            .isZero());
        }
    }
}
