package ploverdale;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ploverdale.net.postgres.MessageWriter;

/**
 * Checks that each request that the gateway has read is answered before the gateway closes its connection, also on a
 * new connection.
 */
@Timeout(120)
class UnansweredCloseTest {
    private static final String SERVED = "row 07 ready";
    private static final String REJECTED = "53300 ready";
    private static final int FEW_DESCRIPTORS = 64;
    /** Number of client connections allowed with {@link #FEW_DESCRIPTORS}. */
    private static final int MAX_CLIENTS = 28;

    private static final Buffer UNKNOWN_MESSAGE =
            Buffer.buffer().appendByte((byte) '?').appendInt(4);

    private static Buffer order(Net net) {
        return MessageWriter.query(net.request("order"));
    }

    /**
     * Connects as many clients as are allowed. Each has a request waiting for a replica group without servers, so that
     * no connection is idle and could be evicted.
     */
    private static void occupyAllClientConnections(Net net) throws Exception {
        for (int i = 0; i < MAX_CLIENTS; i++) {
            net.client().ask(net.request("order").replace("cluster=1", "cluster=2"));
        }
        Thread.sleep(50); // the gateway has read all of them by now
    }

    @Test
    void aRequestAfterAStartupMessageIsRejectedWhenThereIsNoCapacityForItsConnection() throws Exception {
        try (Net net = new Net("p").started(FEW_DESCRIPTORS, 30_000)) {
            occupyAllClientConnections(net);
            Client client =
                    new Client(net.gateway.port()).write(MessageWriter.startup().appendBuffer(order(net)));
            assertThat(client.answer()).as(net::log).isEqualTo("53300 closed");
            assertThat(client.howItEnds()).isEqualTo("end");
        }
    }

    @Test
    void eachRequestAfterAStartupMessageIsRejectedWhenThereIsNoCapacityForItsConnection() throws Exception {
        try (Net net = new Net("p").started(FEW_DESCRIPTORS, 30_000)) {
            occupyAllClientConnections(net);
            Buffer all = MessageWriter.startup()
                    .appendBuffer(order(net))
                    .appendBuffer(order(net))
                    .appendBuffer(order(net));
            Client client = new Client(net.gateway.port()).write(all);
            assertThat(client.answer())
                    .as(net::log)
                    .isEqualTo("53300 53300 ready"); // the first error is FATAL and has no ReadyForQuery
            assertThat(client.answer()).isEqualTo(REJECTED);
            assertThat(client.answer()).isEqualTo("closed");
        }
    }

    @Test
    void aRequestAfterAMalformedMessageIsRejectedBeforeTheConnectionCloses() throws Exception {
        try (Net net = new Net("p").started()) {
            net.servers.get("p").writes = true;
            Client client =
                    net.client().write(order(net).appendBuffer(UNKNOWN_MESSAGE).appendBuffer(order(net)));
            assertThat(client.answer()).as(net::log).isEqualTo(SERVED);
            assertThat(client.answer()).isEqualTo("08P01 53300 ready");
            assertThat(client.answer()).isEqualTo("closed");
        }
    }

    @Test
    void aRequestReadAfterAMalformedMessageIsRejectedThoughAnEarlierRequestIsInFlight() throws Exception {
        try (Net net = new Net("p").started()) {
            Client client = net.client().ask(net.request("order"));
            Got first = net.servers.get("p").next();
            client.write(UNKNOWN_MESSAGE);
            net.logged("bad input from a client");
            client.write(order(net));
            Thread.sleep(100); // the gateway has read it by now
            first.row(new byte[] {7});
            assertThat(client.answer()).as(net::log).isEqualTo(SERVED);
            assertThat(client.answer()).isEqualTo("08P01 53300 ready");
            assertThat(client.answer()).isEqualTo("closed");
            assertThat(net.servers.get("p").got).isEmpty();
        }
    }

    @Test
    void anIncompleteRequestAfterOneInFlightIsRefusedAtTheEndOfAGracefulShutdown() throws Exception {
        try (Net net = new Net("p")) {
            // The shutdown ends after 1.7 s.
            net.settings = configuration -> configuration.replace("\"deadlineMs\":20000", "\"deadlineMs\":1000");
            net.started();
            Client client = net.client();
            Buffer order = order(net);
            client.ask(net.request("order")).write(order.getBuffer(0, 20));
            net.servers.get("p").next();
            CountDownLatch shutdownEnded = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(shutdownEnded));
            assertThat(client.answer()).as(net::log).startsWith("58000");
            assertThat(client.answer()).as(net::log).isEqualTo("57P03 closed");
        }
    }

    @Test
    void eachOfManyPipelinedRequestsIsAnswered() throws Exception {
        try (Net net = new Net("p").started()) {
            Client client = net.client();
            int requests = 60;
            Buffer all = Buffer.buffer();
            for (int i = 0; i < requests; i++) { // 540 KB: more than is read ahead
                all.appendBuffer(MessageWriter.query(net.request("order").replace("\\x01", "\\x" + "01".repeat(4500))));
            }
            client.write(all);
            List<Got> inFlight = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                inFlight.add(net.servers.get("p").next());
            }
            Thread.sleep(100); // the gateway reads the others meanwhile
            net.servers.get("p").writes = true;
            for (Got query : inFlight) {
                query.row(new byte[] {7});
            }
            List<String> answers = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                answers.add(client.answer());
            }
            assertThat(answers).as(net::log).allMatch(a -> a.equals(SERVED) || a.startsWith("53300"));
            assertThat(answers.subList(0, 8)).containsOnly(SERVED);
        }
    }

    @Test
    void aPreStartupConnectionIsRefusedNotFailedWhenAGracefulShutdownClosesIt() throws Exception {
        try (Net net = new Net("p").started()) {
            Client other = net.client();
            CountDownLatch shutdownEnded = new CountDownLatch(1);
            net.gateway.runOnLoop(() -> net.gateway.shutdownGracefully(shutdownEnded));
            net.logged("planned restart: 1 connections");
            Client preStartup = new Client(net.gateway.port());
            assertThat(preStartup.answer()).as(net::log).isEqualTo("57P03 closed");
            assertThat(other.answer()).isEqualTo("closed");
        }
    }

    @Test
    void aPreStartupConnectionIsRefusedNotFailedWhenItIsEvicted() throws Exception {
        try (Net net = new Net("p").started(FEW_DESCRIPTORS, 30_000)) {
            List<Client> preStartup = new ArrayList<>();
            for (int i = 0; i < MAX_CLIENTS / 2; i++) { // more than a third of the client connections allowed
                preStartup.add(new Client(net.gateway.port()));
            }
            assertThat(preStartup.get(0).answer()).as(net::log).isEqualTo("53300 closed");
            for (Client client : preStartup) {
                client.close();
            }
        }
    }

    @Test
    void anIncompleteRequestIsRefusedNotFailedWhenItIsDroppedForLackOfMemory() throws Exception {
        try (Net net = new Net("p").started()) {
            List<Client> incomplete = new ArrayList<>();
            for (int i = 0; i < 140; i++) {
                Buffer truncated = Buffer.buffer()
                        .appendByte((byte) 'Q')
                        .appendInt(130_000)
                        .appendBytes(new byte[125_000]);
                incomplete.add(net.client().write(truncated));
            }
            assertThat(incomplete.get(0).answer()).as(net::log).isEqualTo("53300 closed");
        }
    }

    @Test
    void aRequestThatCrossesTheCloseOfAnIdleConnectionIsNotForwardedAndItsClientSeesAnOrderlyClose() throws Exception {
        try (Net net = new Net("p").started(FEW_DESCRIPTORS, 30_000)) {
            List<Client> idle = new ArrayList<>();
            for (int i = 0; i < 15; i++) { // so many that idle connections are evicted soon
                idle.add(net.client());
            }
            for (Client client : idle.subList(0, 3)) {
                assertThat(client.readByte()).isEqualTo(-1);
                // The gateway must assume that this was written before the close arrived.
                client.ask(net.request("order"));
                assertThat(client.howItEnds()).as(net::log).isEqualTo("end");
            }
            Thread.sleep(600); // until the gateway has closed these connections
            assertThat(net.servers.get("p").got).isEmpty();
        }
    }
}
