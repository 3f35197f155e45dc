package ploverdale.net.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServerOptions;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections that arrive faster than they are set up, at a server whose connections are expensive. */
@Timeout(60)
class AcceptPacingTest {
    private static final int CONNECTIONS = 200;
    private static final long SET_UP_MS = 5;

    /** Connections that may be set up between two runs of a timer: those of a turn, and one turn that had begun. */
    private static final int MAX_BETWEEN_TIMERS = 2 * AcceptPacing.MAX_ACCEPTS;

    /** Regression test for a listener that accepted nothing any more after a connection that could not be set up. */
    @Test
    void theListenerGoesOnAfterAConnectionThatHasNoEventLoop() {
        AtomicReference<EventLoop> loop = new AtomicReference<>();
        EmbeddedChannel listener = new EmbeddedChannel(new AcceptPacing(loop::get));
        loop.set(listener.eventLoop());
        listener.writeInbound(new NioSocketChannel()); // not registered
        listener.runScheduledPendingTasks();
        listener.runPendingTasks();
        assertThat(listener.config().isAutoRead()).isTrue();
        listener.checkException();
    }

    /** Regression test for an event loop that sets up connections for up to a second before it runs its timers. */
    @Test
    void timersRunBetweenConnectionsHoweverManyWaitToBeAccepted() throws Exception {
        Vertx vertx = SingleLoopVertx.create();
        try {
            AtomicInteger accepted = new AtomicInteger();
            AtomicInteger sinceTimer = new AtomicInteger();
            AtomicInteger mostBetweenTimers = new AtomicInteger();
            CountDownLatch all = new CountDownLatch(CONNECTIONS);
            CountDownLatch begin = new CountDownLatch(1);
            int port = vertx.createNetServer(new NetServerOptions().setAcceptBacklog(2 * CONNECTIONS))
                    .connectHandler(socket -> {
                        if (accepted.getAndIncrement() == 0) {
                            await(begin); // all others arrive meanwhile
                        }
                        sleep();
                        mostBetweenTimers.accumulateAndGet(sinceTimer.incrementAndGet(), Math::max);
                        all.countDown();
                    })
                    .listen(0, "127.0.0.1")
                    .onSuccess(server -> vertx.setPeriodic(1, timer -> sinceTimer.set(0)))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS)
                    .actualPort();
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < CONNECTIONS; i++) {
                Socket client = new Socket();
                client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                clients.add(client);
            }
            begin.countDown();
            assertThat(all.await(30, TimeUnit.SECONDS)).isTrue();
            assertThat(mostBetweenTimers.get()).isLessThanOrEqualTo(MAX_BETWEEN_TIMERS);
            for (Socket client : clients) {
                client.close();
            }
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(SET_UP_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
