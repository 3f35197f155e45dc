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

/** A database server that answers health checks by itself and queues the query of each request for the test. */
final class FakeDatabaseServer extends LoopbackServer {
    /** Queries that the test has to answer. */
    final BlockingQueue<ReceivedQuery> pendingQueries = new LinkedBlockingQueue<>();

    /** One element per accepted connection. */
    final BlockingQueue<String> acceptedConnections = new LinkedBlockingQueue<>();

    /** The query of each request that was received completely. */
    final BlockingQueue<String> receivedRequests = new LinkedBlockingQueue<>();

    /** Number of open connections on which a startup message was received. */
    final AtomicInteger openConnections = new AtomicInteger();

    final boolean primary;
    volatile boolean unresponsive; // accepts connections and reads, but answers nothing
    volatile boolean closesOnAccept; // closes each connection as soon as it is accepted
    volatile boolean answersReads; // answers reads by itself with rowValue
    volatile boolean answersWrites; // answers writes by itself with rowValue
    volatile byte[] rowValue = {7};
    volatile CountDownLatch healthCheckGate = new CountDownLatch(0); // responses to health checks wait for it
    volatile CountDownLatch startupGate = new CountDownLatch(0); // responses to startup messages wait for it
    volatile int healthChecks; // received so far
    volatile long idleResetAfterMs; // if positive, drops a connection idle for longer at its next query
    volatile int idleResets; // connections dropped because of idleResetAfterMs
    volatile boolean dropsSilently; // drops idle connections without a reset: reads on, answers nothing
    volatile String loadReportOverride; // null: the usual load report

    FakeDatabaseServer(boolean primary) throws IOException {
        this.primary = primary;
    }

    @Override
    void serve(Socket socket) throws IOException {
        acceptedConnections.add("one");
        if (closesOnAccept) {
            socket.close();
            return;
        }
        DataInputStream in = new DataInputStream(socket.getInputStream());
        in.readFully(new byte[in.readInt() - 4]);
        CountDownLatch closed = new CountDownLatch(1);
        openConnections.incrementAndGet();
        try {
            await(startupGate);
            if (!unresponsive) {
                write(
                        socket,
                        Buffer.buffer().appendByte((byte) 'R').appendInt(8).appendInt(0),
                        true);
            }
            for (long last = System.nanoTime(); true; last = System.nanoTime()) {
                in.readByte();
                if (idleResetAfterMs > 0
                        && System.nanoTime() - last > TimeUnit.MILLISECONDS.toNanos(idleResetAfterMs)) {
                    idleResets++;
                    if (dropsSilently) {
                        in.transferTo(java.io.OutputStream.nullOutputStream());
                        return;
                    }
                    socket.setSoLinger(true, 0);
                    socket.close();
                    return;
                }
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                ReceivedQuery query = new ReceivedQuery(
                        this, socket, new String(body, 0, Math.max(0, body.length - 1), UTF_8), closed);
                if (!query.text().startsWith("SHOW")) {
                    receivedRequests.add(query.text());
                }
                if (unresponsive) {
                    continue;
                }
                if (query.text().startsWith("SHOW")) {
                    healthChecks++;
                    await(healthCheckGate);
                    query.sendRow(loadReport().getBytes(UTF_8));
                } else if (query.text().startsWith("SELECT") ? answersReads : answersWrites) {
                    query.sendRow(rowValue);
                } else {
                    pendingQueries.add(query);
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

    /** Returns the load report that the server sends now. */
    String loadReport() {
        return loadReportOverride != null
                ? loadReportOverride
                : "x0=" + System.currentTimeMillis() / 1000 + ",x1=" + (primary ? 1 : 0) + ",busy=0.1";
    }

    /** Waits for the next query of a request. */
    ReceivedQuery nextQuery() throws InterruptedException {
        ReceivedQuery query = pendingQueries.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(query).as("a query is received").isNotNull();
        return query;
    }

    /** Writes these messages, followed by ReadyForQuery if {@code ready}. */
    static void write(Socket socket, Buffer b, boolean ready) throws IOException {
        if (ready) {
            b.appendByte((byte) 'Z').appendInt(5).appendByte((byte) 'I');
        }
        socket.getOutputStream().write(b.getBytes());
    }
}
