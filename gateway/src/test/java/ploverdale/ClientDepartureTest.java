package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import ploverdale.AttemptRecorder.Arrival;
import ploverdale.net.postgres.MessageWriter;

/** No attempt begins later than the grace after its client closed or cancelled, whatever the request waits for by then. */
@Timeout(120)
class ClientDepartureTest {
    private static final int IN_HAND_MOST = 8; // pipelined requests that are forwarded at a time
    private static final long SETTLES_MS = 600; // several times the grace; what would begin late begins by then
    private static final int STATEMENT_BYTES = 9_000;

    /** How a client leaves. */
    enum Departure {
        CLOSE,
        RESET,
        HALF_CLOSE,
        TERMINATE,
        CANCEL
    }

    /** A client whose socket the test drives itself; its greeting has been answered. */
    private static final class LeavingClient implements AutoCloseable {
        private final int port;
        private final Socket socket;
        private int process;
        private int secret;

        LeavingClient(int port) throws IOException {
            this.port = port;
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(GatewayTestFixture.TIMEOUT_S));
            write(MessageWriter.startup());
            DataInputStream in = new DataInputStream(socket.getInputStream());
            for (int type = in.read(); type != 'Z'; type = in.read()) {
                int length = in.readInt();
                if (type == 'K') {
                    process = in.readInt();
                    secret = in.readInt();
                } else {
                    in.readFully(new byte[length - 4]);
                }
            }
            in.readFully(new byte[5]);
        }

        LeavingClient write(Buffer bytes) throws IOException {
            socket.getOutputStream().write(bytes.getBytes());
            return this;
        }

        LeavingClient sendQuery(String text) throws IOException {
            return write(MessageWriter.query(text));
        }

        /** Leaves; returns the time by the monotonic clock. */
        long leave(Departure how) throws IOException {
            long at = System.nanoTime();
            switch (how) {
                case CLOSE -> socket.close();
                case RESET -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                case HALF_CLOSE -> socket.shutdownOutput();
                case TERMINATE -> write(Buffer.buffer().appendByte((byte) 'X').appendInt(4)); // and stays connected
                case CANCEL -> cancel();
                default -> throw new IllegalArgumentException(how.name());
            }
            return at;
        }

        private void cancel() throws IOException {
            try (Socket other = new Socket(InetAddress.getLoopbackAddress(), port)) {
                other.getOutputStream()
                        .write(Buffer.buffer()
                                .appendInt(16)
                                .appendInt(80877102)
                                .appendInt(process)
                                .appendInt(secret)
                                .getBytes());
                other.getInputStream().read();
            }
        }

        /** The code of the next ErrorResponse. */
        String errorCode() throws IOException {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            assertThat((char) in.read()).isEqualTo('E');
            byte[] body = new byte[in.readInt() - 4];
            in.readFully(body);
            String text = new String(body, java.nio.charset.StandardCharsets.UTF_8);
            return text.substring(text.indexOf("\0C") + 2, text.indexOf("\0C") + 7);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Blocks the event loop for so long; what is written meanwhile is read after it, in one turn. */
    private static void holdUp(GatewayTestFixture net, long ms, GatewayTestFixture.ThrowingRunnable meanwhile)
            throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch on = new CountDownLatch(1);
        net.gateway.runOnLoop(() -> {
            held.countDown();
            try {
                on.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        meanwhile.run();
        Thread.sleep(Math.max(0, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
        on.countDown();
    }

    private static String longStatement(GatewayTestFixture net) {
        return net.queryText("order").replace("\\x01", "\\x" + "01".repeat(STATEMENT_BYTES / 2));
    }

    /** Lets whatever could still begin do so, and asserts that nothing began late. */
    private static void assertNothingBeginsAfter(long leftAt, GatewayTestFixture net, AttemptRecorder recorder)
            throws Exception {
        Thread.sleep(SETTLES_MS);
        assertThat(recorder.begunAfter(leftAt)).as(net::log).isEmpty();
    }

    @ParameterizedTest
    @EnumSource
    void noRequestBehindThoseInHandIsForwardedOnceItsClientHasLeft(Departure how) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start();
                AttemptRecorder recorder = new AttemptRecorder(net.servers.get("p"))) {
            try (LeavingClient client = new LeavingClient(net.gateway.port())) {
                Buffer all = Buffer.buffer();
                for (int i = 0; i < 3 * IN_HAND_MOST; i++) {
                    all.appendBuffer(MessageWriter.query(net.queryText("order")));
                }
                client.write(all);
                List<Arrival> inHand = recorder.await(IN_HAND_MOST);
                long leftAt = client.leave(how);
                Thread.sleep(AttemptRecorder.GRACE_MS + 20);
                for (Arrival a : inHand) {
                    tryToAnswer(a); // each answer would let one more be forwarded
                }
                assertNothingBeginsAfter(leftAt, net, recorder);
            }
        }
    }

    private static void tryToAnswer(Arrival a) {
        try {
            a.attempt().sendRow(new byte[] {7});
        } catch (IOException e) {
            assertThat(e).hasMessageMatching("(?i).*(closed|reset|broken pipe).*"); // given up, as it should be
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"CLOSE", "RESET", "HALF_CLOSE"})
    void noRequestIsForwardedForAClientThatWroteMoreThanIsReadAheadAndLeft(Departure how) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start();
                AttemptRecorder recorder = new AttemptRecorder(net.servers.get("p"))) {
            try (LeavingClient client = new LeavingClient(net.gateway.port())) {
                Buffer all = Buffer.buffer();
                for (int i = 0; i < 200; i++) { // 1.8 MB, taken by the systems on the way
                    all.appendBuffer(MessageWriter.query(longStatement(net)));
                }
                client.write(all);
                List<Arrival> inHand = recorder.await(IN_HAND_MOST);
                long leftAt = client.leave(how);
                Thread.sleep(AttemptRecorder.GRACE_MS + 20);
                for (Arrival a : inHand) {
                    tryToAnswer(a);
                }
                assertNothingBeginsAfter(leftAt, net, recorder);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void aRequestThatWaitsForAConnectionThatComesUpLateIsNotWrittenThen(Departure how) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            net.configurationEdit =
                    told -> told.replace("\"cancel\":true", "\"cancel\":false"); // the router cannot call it off
            net.start();
            FakeDatabaseServer p = net.servers.get("p");
            try (AttemptRecorder recorder = new AttemptRecorder(p);
                    LeavingClient other = new LeavingClient(net.gateway.port()).sendQuery(net.queryText("order"));
                    LeavingClient client = new LeavingClient(net.gateway.port())) {
                recorder.await(1); // has the connection that the health check opened
                p.startupGate = new CountDownLatch(1);
                p.acceptedConnections.clear();
                client.sendQuery(net.queryText("order"));
                assertThat(p.acceptedConnections.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                        .isNotNull();
                long leftAt = client.leave(how);
                Thread.sleep(AttemptRecorder.GRACE_MS + 20);
                p.startupGate.countDown();
                assertNothingBeginsAfter(leftAt, net, recorder);
            }
        }
    }

    /** Both are read in one turn of the loop, the server's connection first. */
    @ParameterizedTest
    @EnumSource(names = {"CLOSE", "RESET", "HALF_CLOSE", "TERMINATE"})
    void aConnectionThatComesUpDuringAPauseIsNotUsedForAClientThatLeftInIt(Departure how) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            try (AttemptRecorder recorder = new AttemptRecorder(p);
                    LeavingClient other = new LeavingClient(net.gateway.port()).sendQuery(net.queryText("order"));
                    LeavingClient client = new LeavingClient(net.gateway.port())) {
                recorder.await(1);
                p.startupGate = new CountDownLatch(1);
                p.acceptedConnections.clear();
                client.sendQuery(net.queryText("order"));
                assertThat(p.acceptedConnections.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS))
                        .isNotNull();
                Thread.sleep(20); // the startup message has been written by now
                long[] leftAt = {0};
                holdUp(net, 180, () -> {
                    p.startupGate.countDown();
                    Thread.sleep(20);
                    leftAt[0] = client.leave(how);
                });
                assertNothingBeginsAfter(leftAt[0], net, recorder);
                assertThat(recorder.count()).as(net::log).isEqualTo(1);
                other.close();
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void aRequestHeldForAPrimaryIsNotForwardedWhenThatIsHeard(Departure how) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start()) {
            FakeDatabaseServer p = net.servers.get("p");
            p.healthCheckGate = new CountDownLatch(1);
            Thread.sleep(2200); // by now the primary was last heard too long ago, and a health check is under way
            try (AttemptRecorder recorder = new AttemptRecorder(p);
                    LeavingClient client = new LeavingClient(net.gateway.port()).sendQuery(net.queryText("order"))) {
                Thread.sleep(50); // held
                assertThat(recorder.count()).isZero();
                long leftAt = client.leave(how);
                Thread.sleep(AttemptRecorder.GRACE_MS + 20);
                p.healthCheckGate.countDown();
                assertNothingBeginsAfter(leftAt, net, recorder);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void anAttemptThatFailsAfterItsClientLeftIsNotRetried(Departure how) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            net.configurationEdit = told -> told.replace("\"cancel\":true", "\"cancel\":false"); // so that it stays out
            net.start();
            try (AttemptRecorder recorder = new AttemptRecorder(net.servers.get("p"));
                    LeavingClient client = new LeavingClient(net.gateway.port()).sendQuery(net.queryText("order"))) {
                Arrival first = recorder.await(1).get(0);
                long leftAt = client.leave(how);
                Thread.sleep(AttemptRecorder.GRACE_MS + 20);
                first.attempt().sendError("53300"); // proves that it never ran, so it may go again
                assertNothingBeginsAfter(leftAt, net, recorder);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void aRequestAndItsClientsDepartureDuringAPauseOfTheLoopCauseNoAttempt(Departure how) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start();
                AttemptRecorder recorder = new AttemptRecorder(net.servers.get("p"))) {
            List<LeavingClient> clients = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                clients.add(new LeavingClient(net.gateway.port()));
            }
            long[] leftAt = {0};
            Thread[] cancels = {null};
            holdUp(net, 150, () -> {
                for (LeavingClient c : clients) {
                    c.sendQuery(net.queryText("order"));
                }
                Runnable leave = () -> leaveAll(clients, how);
                leftAt[0] = System.nanoTime();
                cancels[0] = new Thread(leave); // a cancel waits for its connection's end
                cancels[0].start();
                if (how != Departure.CANCEL) {
                    cancels[0].join();
                }
            });
            cancels[0].join();
            assertNothingBeginsAfter(leftAt[0], net, recorder);
            for (LeavingClient c : clients) {
                c.close();
            }
        }
    }

    private static void leaveAll(List<LeavingClient> clients, Departure how) {
        List<Thread> all = clients.stream()
                .map(c -> new Thread(() -> {
                    try {
                        c.leave(how);
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                }))
                .toList();
        all.forEach(Thread::start);
        for (Thread t : all) {
            try {
                t.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** The pause falls between the reading of the request and the turn that forwards it. */
    @ParameterizedTest
    @EnumSource
    void aDepartureDuringAPauseBetweenReadingARequestAndForwardingItCausesNoAttempt(Departure how) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start();
                AttemptRecorder recorder = new AttemptRecorder(net.servers.get("p"));
                LeavingClient client = new LeavingClient(net.gateway.port())) {
            // The first is forwarded; the error of the second is logged in the same turn, where the gateway pauses.
            Buffer both = MessageWriter.query(net.queryText("order"))
                    .appendBuffer(MessageWriter.query(net.queryText("no such type")));
            net.pauseLoopWhileReading(() -> client.write(both));
            long leftAt = System.nanoTime();
            Thread leaves = new Thread(() -> leaveAll(List.of(client), how));
            leaves.start();
            Thread.sleep(150); // the pause itself
            net.resume();
            leaves.join();
            assertNothingBeginsAfter(leftAt, net, recorder);
        }
    }

    @ParameterizedTest
    @EnumSource
    void noAttemptBeginsForAClientThatLeftDuringAGracefulShutdown(Departure how) throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p")) {
            net.configurationEdit = told -> told.replace("\"cancel\":true", "\"cancel\":false");
            net.start();
            try (AttemptRecorder recorder = new AttemptRecorder(net.servers.get("p"));
                    LeavingClient client = new LeavingClient(net.gateway.port())) {
                CountDownLatch ended = new CountDownLatch(1);
                net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(ended));
                net.awaitLog("planned restart: 1 connections");
                client.sendQuery(net.queryText("order"));
                Arrival first = recorder.await(1).get(0);
                long leftAt = client.leave(how);
                Thread.sleep(AttemptRecorder.GRACE_MS + 20);
                first.attempt().sendError("53300");
                assertNothingBeginsAfter(leftAt, net, recorder);
            }
        }
    }

    @Test
    void aCancelMessageIsAnsweredOnTheConnectionThatItNamesAndTheAttemptIsGivenUp() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start();
                AttemptRecorder recorder = new AttemptRecorder(net.servers.get("p"));
                LeavingClient client = new LeavingClient(net.gateway.port()).sendQuery(net.queryText("order"))) {
            Arrival first = recorder.await(1).get(0);
            client.leave(Departure.CANCEL);
            assertThat(client.errorCode()).as(net::log).isEqualTo("57014");
            first.attempt().awaitClosedByGateway();
        }
    }

    @Test
    void aCancelMessageWithAnotherSecretCancelsNothing() throws Exception {
        try (GatewayTestFixture net = new GatewayTestFixture("p").start();
                AttemptRecorder recorder = new AttemptRecorder(net.servers.get("p"));
                LeavingClient client = new LeavingClient(net.gateway.port()).sendQuery(net.queryText("order"))) {
            Arrival first = recorder.await(1).get(0);
            client.secret++;
            client.leave(Departure.CANCEL);
            first.attempt().sendRow(new byte[] {7});
            assertThat((char) client.socket.getInputStream().read())
                    .as(net::log)
                    .isEqualTo('T');
        }
    }
}
