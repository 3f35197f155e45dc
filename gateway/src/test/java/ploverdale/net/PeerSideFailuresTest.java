package ploverdale.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import ploverdale.FaultyTransport;
import ploverdale.FaultyTransport.Call;
import ploverdale.FaultyTransport.Errno;
import ploverdale.FaultyTransport.Fault;
import ploverdale.log.Log;
import ploverdale.net.eventloop.SingleLoopVertx;
import ploverdale.net.peer.GossipTransport;

/** The socket to other instances, whose system calls fail. */
@Timeout(60)
class PeerSideFailuresTest {
    private static final long PATIENCE_S = 20;
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();

    private final FaultyTransport system = new FaultyTransport();
    private final Vertx vertx = SingleLoopVertx.create(system);
    private final BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private DatagramSocket other;
    private InetSocketAddress at;
    private GossipTransport side;

    @BeforeEach
    void addresses() throws IOException {
        other = new DatagramSocket(0, HERE);
        other.setSoTimeout(50);
        try (DatagramSocket free = new DatagramSocket(0, HERE)) {
            at = new InetSocketAddress(HERE, free.getLocalPort());
        }
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(PATIENCE_S, TimeUnit.SECONDS);
        other.close();
    }

    /** Done when its first attempt to listen is over. */
    private void listen() throws Exception {
        CompletableFuture<Void> listened = new CompletableFuture<>();
        vertx.runOnContext(x -> {
            side = new GossipTransport(
                    vertx, new Log(new PrintStream(lines, true)), null, List.of(at, (InetSocketAddress)
                            other.getLocalSocketAddress()));
            side.setDatagramInterceptor((from, bytes) -> received.add(bytes));
            side.listen(at).onComplete(y -> listened.complete(null));
        });
        listened.get(PATIENCE_S, TimeUnit.SECONDS);
    }

    private void receives(int what) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        byte[] bytes = null;
        while (bytes == null || bytes[0] != what) {
            assertThat(System.nanoTime()).as(lines.toString()).isLessThan(end);
            other.send(new DatagramPacket(new byte[] {(byte) what}, 1, at)); // one that comes meanwhile is lost
            bytes = received.poll(20, TimeUnit.MILLISECONDS);
        }
    }

    private void send(int what) {
        vertx.runOnContext(x -> side.send(1, new byte[] {(byte) what}));
    }

    /** Whether the other instance gets this one, sent until then. */
    private void onRequestArrived(int what) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        DatagramPacket got = new DatagramPacket(new byte[1], 1);
        do {
            assertThat(System.nanoTime()).as(lines.toString()).isLessThan(end);
            send(what);
            try {
                other.receive(got);
            } catch (SocketTimeoutException e) {
                got.setData(new byte[] {-1}); // and sends again
            }
        } while (got.getData()[0] != what);
    }

    @ParameterizedTest
    @EnumSource(names = {"ENOBUFS", "ENOMEM", "ECONNREFUSED", "EHOSTUNREACH"})
    void aReceiveThatFailsDoesNotEndReceivingForGood(Errno errno) throws Exception {
        listen();
        receives(1);
        Fault fault = system.fail(Call.RECEIVE, errno, 2);
        receives(2);
        assertThat(fault.failed()).isEqualTo(2);
        onRequestArrived(3);
    }

    @ParameterizedTest
    @EnumSource(names = {"ENOBUFS", "EPERM", "ENETUNREACH", "ECONNREFUSED", "EHOSTUNREACH", "EINVAL"})
    void aSendThatFailsCostsThatDatagramAlone(Errno errno) throws Exception {
        listen();
        Fault fault = system.fail(Call.SEND, errno, 2);
        onRequestArrived(1);
        assertThat(fault.failed()).isEqualTo(2);
        receives(2);
    }

    @ParameterizedTest
    @EnumSource(names = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"})
    void aSocketThatCannotBeOpenedAtFirstIsOpenedLater(Errno errno) throws Exception {
        Fault fault = system.fail(Call.DATAGRAM_SOCKET, errno, 3);
        listen();
        receives(1);
        assertThat(fault.failed()).isEqualTo(3);
        onRequestArrived(2);
    }

    @Test
    void aSocketWhoseAddressIsTakenAtFirstIsBoundOnceItIsFree() throws Exception {
        DatagramSocket taken = new DatagramSocket(at);
        listen();
        assertThat(lines.toString()).contains("no words with other instances");
        taken.close();
        receives(1);
        onRequestArrived(2);
    }
}
