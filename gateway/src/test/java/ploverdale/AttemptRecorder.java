package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Records when each attempt was received completely at a fake database server. */
final class AttemptRecorder implements AutoCloseable {
    /** An attempt and the time at which its last byte arrived, by the monotonic clock. */
    record Arrival(ReceivedQuery attempt, long atNanos) {
        private String id() {
            return attempt.text().replaceAll(".*/\\* id=([^,]*),.*", "$1");
        }
    }

    /** How long after its client closed the connection an attempt may still start. */
    static final long GRACE_MS = 100;

    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final Thread recorder;

    AttemptRecorder(FakeDatabaseServer server) {
        recorder = new Thread(() -> record(server));
        recorder.setDaemon(true);
        recorder.start();
    }

    private void record(FakeDatabaseServer server) {
        try {
            while (true) {
                ReceivedQuery attempt = server.pendingQueries.take();
                arrivals.add(new Arrival(attempt, System.nanoTime()));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until this many attempts have arrived in total, and returns them. */
    List<Arrival> await(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(GatewayTestFixture.TIMEOUT_S);
        while (arrivals.size() < count) {
            assertThat(System.nanoTime())
                    .as("%d attempts, there are %s", count, arrivals)
                    .isLessThan(end);
            Thread.sleep(1);
        }
        return List.copyOf(arrivals);
    }

    int count() {
        return arrivals.size();
    }

    /** Returns the request ids of attempts received more than {@link #GRACE_MS} after this time. */
    List<String> begunAfter(long closedAtNanos) {
        long latest = closedAtNanos + TimeUnit.MILLISECONDS.toNanos(GRACE_MS);
        return arrivals.stream()
                .filter(a -> a.atNanos() > latest)
                .map(Arrival::id)
                .toList();
    }

    @Override
    public void close() throws InterruptedException {
        recorder.interrupt();
        recorder.join();
    }
}
