package ploverdale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A database server: answers health checks by itself and passes each request's query to the test. Each connection has its thread. */
final class FakeDatabaseServer extends LoopbackServer {
    final BlockingQueue<ReceivedQuery> pendingQueries = new LinkedBlockingQueue<>();
    final BlockingQueue<String> acceptedConnections = new LinkedBlockingQueue<>();
    final BlockingQueue<String> receivedRequests =
            new LinkedBlockingQueue<>(); // the query of each request that was received completely
    final AtomicInteger openConnections = new AtomicInteger(); // connections on which a startup message was received
    final boolean primary;
    volatile boolean unresponsive; // accepts connections, answers nothing
    volatile boolean closesOnAccept; // accepts connections, closes them at once
    volatile boolean answersReads; // answers reads by itself
    volatile boolean answersWrites; // and writes
    volatile byte[] rowValue = {7}; // with this
    volatile CountDownLatch healthCheckGate = new CountDownLatch(0); // their answers wait for it
    volatile CountDownLatch startupGate = new CountDownLatch(0); // connections come up once it is down
    volatile int healthChecks;
    volatile long idleResetAfterMs; // resets a connection that was idle for so long, at its next query
    volatile int idleResets;
    volatile boolean dropsSilently; // where it forgets a connection, says nothing on it instead of a reset
    volatile String loadReportOverride; // overrides its load report unless null

    FakeDatabaseServer(boolean primary) throws IOException {
        this.primary = primary;
    }

    @Override
    void serve(Socket s) throws IOException {
        acceptedConnections.add("one");
        if (closesOnAccept) {
            s.close();
            return;
        }
        DataInputStream in = new DataInputStream(s.getInputStream());
        in.readFully(new byte[in.readInt() - 4]);
        CountDownLatch closed = new CountDownLatch(1);
        openConnections.incrementAndGet();
        try {
            await(startupGate);
            if (!unresponsive) {
                write(s, Buffer.buffer().appendByte((byte) 'R').appendInt(8).appendInt(0), true);
            }
            for (long last = System.nanoTime(); true; last = System.nanoTime()) {
                in.readByte();
                if (idleResetAfterMs > 0 && System.nanoTime() - last > TimeUnit.MILLISECONDS.toNanos(idleResetAfterMs)) {
                    idleResets++;
                    if (dropsSilently) {
                        in.transferTo(java.io.OutputStream.nullOutputStream());
                        return;
                    }
                    s.setSoLinger(true, 0);
                    s.close();
                    return;
                }
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                ReceivedQuery g = new ReceivedQuery(this, s, new String(body, 0, Math.max(0, body.length - 1), UTF_8), closed);
                if (!g.text().startsWith("SHOW")) {
                    receivedRequests.add(g.text());
                }
                if (unresponsive) {
                    continue;
                }
                if (g.text().startsWith("SHOW")) {
                    healthChecks++;
                    await(healthCheckGate);
                    g.sendRow(loadReport().getBytes(UTF_8));
                } else if (g.text().startsWith("SELECT") ? answersReads : answersWrites) {
                    g.sendRow(rowValue);
                } else {
                    pendingQueries.add(g);
                }
            }
        } finally {
            closed.countDown();
            openConnections.decrementAndGet();
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    String loadReport() {
        return loadReportOverride != null
                ? loadReportOverride
                : "x0=" + System.currentTimeMillis() / 1000 + ",x1=" + (primary ? 1 : 0) + ",busy=0.1";
    }

    /** Waits for the next query of a request. */
    ReceivedQuery nextQuery() throws InterruptedException {
        ReceivedQuery g = pendingQueries.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(g).as("a query comes").isNotNull();
        return g;
    }

    static void write(Socket s, Buffer b, boolean ready) throws IOException {
        if (ready) {
            b.appendByte((byte) 'Z').appendInt(5).appendByte((byte) 'I');
        }
        s.getOutputStream().write(b.getBytes());
    }
}
