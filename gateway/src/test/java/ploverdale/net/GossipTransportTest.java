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

/** The socket to other instances. */
class GossipTransportTest {
    private static final String HERE = "127.0.0.1";

    @Test
    void aWordBeforeItListensLeavesItAbleToHear() throws Exception {
        Vertx vertx = SingleLoopVertx.create();
        try {
            DatagramSocket other = vertx.createDatagramSocket();
            other.listen(0, HERE).toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
            DatagramSocket free = vertx.createDatagramSocket();
            int port = free.listen(0, HERE)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(20, TimeUnit.SECONDS)
                    .localAddress()
                    .port();
            free.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
            InetSocketAddress at = new InetSocketAddress(HERE, port);
            CompletableFuture<byte[]> heard = new CompletableFuture<>();
            vertx.runOnContext(x -> {
                GossipTransport side = new GossipTransport(
                        vertx,
                        new Log(new PrintStream(System.err)),
                        null,
                        List.of(
                                at,
                                new InetSocketAddress(HERE, other.localAddress().port())));
                side.setDatagramInterceptor((from, bytes) -> heard.complete(bytes));
                side.send(1, new byte[] {1});
                vertx.setTimer(
                        20, y -> side.listen(at).onSuccess(z -> other.send(Buffer.buffer(new byte[] {7}), port, HERE)));
            });
            assertThat(heard.get(20, TimeUnit.SECONDS)).containsExactly(7);
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        }
    }
}
