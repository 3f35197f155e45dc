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

/**
 * Checks the datagram socket to the peers while its system calls fail. A single failed call must not cut the gateway
 * off from its peers until it is restarted.
 */
@Timeout(60)
class GossipTransportFailuresTest {
    private static final long TIMEOUT_S = 20;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private final FaultyTransport systemCalls = new FaultyTransport();
    private final Vertx vertx = SingleLoopVertx.create(systemCalls);
    private final BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private DatagramSocket peer;
    private InetSocketAddress address;
    private GossipTransport transport;

    @BeforeEach
    void openPeerSocketAndChooseAddress() throws IOException {
        peer = new DatagramSocket(0, LOOPBACK);
        peer.setSoTimeout(50);
        try (DatagramSocket portFinder = new DatagramSocket(0, LOOPBACK)) {
            address = new InetSocketAddress(LOOPBACK, portFinder.getLocalPort());
        }
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
        peer.close();
    }

    /** Creates the transport and listens; returns when the first attempt to listen has succeeded or failed. */
    private void listen() throws Exception {
        CompletableFuture<Void> listened = new CompletableFuture<>();
        vertx.runOnContext(ignored -> {
            transport = new GossipTransport(
                    vertx, new Log(new PrintStream(logOutput, true)), null, List.of(address, (InetSocketAddress)
                            peer.getLocalSocketAddress()));
            transport.setDatagramInterceptor((from, bytes) -> received.add(bytes));
            transport.listen(address).onComplete(result -> listened.complete(null));
        });
        listened.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    /**
     * Sends this payload from the peer until the transport receives it, since a datagram may be lost while a call
     * fails.
     */
    private void assertReceives(int payload) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        byte[] bytes = null;
        while (bytes == null || bytes[0] != payload) {
            assertThat(System.nanoTime()).as(logOutput.toString()).isLessThan(end);
            peer.send(new DatagramPacket(new byte[] {(byte) payload}, 1, address));
            bytes = received.poll(20, TimeUnit.MILLISECONDS);
        }
    }

    private void send(int payload) {
        vertx.runOnContext(ignored -> transport.send(1, new byte[] {(byte) payload}));
    }

    /** Sends this payload through the transport until the peer receives it. */
    private void assertSends(int payload) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        DatagramPacket packet = new DatagramPacket(new byte[1], 1);
        do {
            assertThat(System.nanoTime()).as(logOutput.toString()).isLessThan(end);
            send(payload);
            try {
                peer.receive(packet);
            } catch (SocketTimeoutException timeout) {
                packet.setData(new byte[] {-1}); // no payload; the loop sends again
            }
        } while (packet.getData()[0] != payload);
    }

    @ParameterizedTest
    @EnumSource(names = {"ENOBUFS", "ENOMEM", "ECONNREFUSED", "EHOSTUNREACH"})
    void receivingResumesAfterAFailedReceive(Errno errno) throws Exception {
        listen();
        assertReceives(1);
        Fault fault = systemCalls.fail(Call.RECEIVE, errno, 2);
        assertReceives(2);
        assertThat(fault.failed()).isEqualTo(2);
        assertSends(3);
    }

    @ParameterizedTest
    @EnumSource(names = {"ENOBUFS", "EPERM", "ENETUNREACH", "ECONNREFUSED", "EHOSTUNREACH", "EINVAL"})
    void aFailedSendLosesOnlyThatDatagram(Errno errno) throws Exception {
        listen();
        Fault fault = systemCalls.fail(Call.SEND, errno, 2);
        assertSends(1);
        assertThat(fault.failed()).isEqualTo(2);
        assertReceives(2);
    }

    @ParameterizedTest
    @EnumSource(names = {"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"})
    void aSocketThatCouldNotBeOpenedIsOpenedLater(Errno errno) throws Exception {
        Fault fault = systemCalls.fail(Call.DATAGRAM_SOCKET, errno, 3);
        listen();
        assertReceives(1);
        assertThat(fault.failed()).isEqualTo(3);
        assertSends(2);
    }

    @Test
    void aSocketWhoseAddressWasInUseIsBoundOnceTheAddressIsFree() throws Exception {
        DatagramSocket addressHolder = new DatagramSocket(address);
        listen();
        assertThat(logOutput.toString()).contains("no words with other instances");
        addressHolder.close();
        assertReceives(1);
        assertSends(2);
    }
}
