package ploverdale.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import ploverdale.log.Log;
import ploverdale.net.eventloop.SingleLoopVertx;
import ploverdale.net.peer.GossipTransport;

/** Checks the datagram socket to the peers. A gateway may have something to send before its socket is listening. */
class GossipTransportTest {
    private static final String LOOPBACK = "127.0.0.1";

    @Test
    void sendingBeforeListeningDoesNotPreventReceivingLater() throws Exception {
        Vertx vertx = SingleLoopVertx.create();
        try {
            DatagramSocket peer = vertx.createDatagramSocket();
            peer.listen(0, LOOPBACK).toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
            DatagramSocket portFinder = vertx.createDatagramSocket();
            int port = portFinder
                    .listen(0, LOOPBACK)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(20, TimeUnit.SECONDS)
                    .localAddress()
                    .port();
            portFinder.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
            InetSocketAddress address = new InetSocketAddress(LOOPBACK, port);
            CompletableFuture<byte[]> received = new CompletableFuture<>();
            vertx.runOnContext(ignored -> {
                GossipTransport transport = new GossipTransport(
                        vertx,
                        new Log(new PrintStream(System.err)),
                        null,
                        List.of(
                                address,
                                new InetSocketAddress(
                                        LOOPBACK, peer.localAddress().port())));
                transport.setDatagramInterceptor((from, bytes) -> received.complete(bytes));
                transport.send(1, new byte[] {1});
                vertx.setTimer(20, timer -> transport
                        .listen(address)
                        .onSuccess(listening -> peer.send(Buffer.buffer(new byte[] {7}), port, LOOPBACK)));
            });
            assertThat(received.get(20, TimeUnit.SECONDS)).containsExactly(7);
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        }
    }
}
