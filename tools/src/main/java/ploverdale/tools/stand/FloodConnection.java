package ploverdale.tools.stand;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import ploverdale.clock.Clock;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.tools.ledger.FloodLedger;
import ploverdale.tools.stand.FloodClients.Flood;

/**
 * One client of a flood, which connects again when its connection has ended. It never blocks, so that a few threads
 * carry any number of clients. Used by one thread.
 */
final class FloodConnection {
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int DISCARD_BYTES = 64 * 1024;

    private final Flood flood;
    private final InetSocketAddress gateway;
    private final RandomGenerator random;
    private final FloodLedger ledger;
    private final Supplier<String> idPrefixes;
    private final ByteBuffer discarded = ByteBuffer.allocateDirect(DISCARD_BYTES);
    private SocketChannel channel; // null while there is no connection
    private ByteBuffer unsent = ByteBuffer.allocate(0);
    private String idPrefix = "";
    private long nextNumber;
    private long sentBytes;

    /** @param idPrefixes returns the beginning of the ids of a new connection's requests */
    FloodConnection(
            Flood flood,
            InetSocketAddress gateway,
            RandomGenerator random,
            FloodLedger ledger,
            Supplier<String> idPrefixes) {
        this.flood = flood;
        this.gateway = gateway;
        this.random = random;
        this.ledger = ledger;
        this.idPrefixes = idPrefixes;
    }

    /** Connects, writes or reads as far as that is possible at once; returns whether anything was done. */
    boolean advance() {
        try {
            if (channel == null) {
                return connect();
            }
            return readIfWanted() | write();
        } catch (IOException e) {
            close();
            return true;
        }
    }

    /** Connects; a client that has left or has been closed comes again at once. */
    private boolean connect() throws IOException {
        idPrefix = idPrefixes.get();
        nextNumber = 0;
        sentBytes = 0;
        unsent = ByteBuffer.wrap(
                flood.form().isAfterStartup() ? MessageWriter.startup().getBytes() : new byte[0]);
        channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.socket().connect(gateway, CONNECT_TIMEOUT_MS);
        channel.configureBlocking(false);
        return true;
    }

    private boolean readIfWanted() throws IOException {
        if (!flood.readsAnswers()) {
            return false;
        }
        discarded.clear();
        int read = channel.read(discarded);
        if (read < 0) {
            throw new IOException("the gateway has closed the connection");
        }
        return read > 0;
    }

    private boolean write() throws IOException {
        if (!unsent.hasRemaining()) {
            if (sentBytes >= flood.bytesPerConnection()) {
                close();
                return true;
            }
            unsent = ByteBuffer.wrap(flood.form().block(random, idPrefix, nextNumber));
            nextNumber += FloodForm.numbersPerBlock();
        }
        int written = channel.write(unsent);
        sentBytes += written;
        return written > 0;
    }

    /** Closes the connection, if there is one. */
    void close() {
        if (channel == null) {
            return;
        }
        ledger.clientLeft(idPrefix, Clock.system().now());
        try {
            channel.close();
        } catch (IOException e) {
            return; // it is closed all the same
        } finally {
            channel = null;
        }
    }
}
