package ploverdale.tools.stand;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import ploverdale.clock.Clock;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.tools.ledger.FloodLedger;

/**
 * Clients that send one form of message at full speed, each on a thread of its own. A client whose connection ends
 * connects again.
 */
public final class FloodClients {
    private static final int DISCARD_BYTES = 64 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final long RECONNECT_DELAY_MS = 5;

    private final AtomicInteger connections = new AtomicInteger();
    private final FloodLedger ledger;

    /** @param ledger is told when the client of a request leaves */
    public FloodClients(FloodLedger ledger) {
        this.ledger = ledger;
    }

    /**
     * How a flood proceeds.
     *
     * @param clients how many clients send at the same time
     * @param durationMs how long they send
     * @param readsAnswers whether the clients read what they are sent
     * @param bytesPerConnection after how many bytes a client closes its connection and opens another one
     */
    public record Flood(FloodForm form, int clients, long durationMs, boolean readsAnswers, long bytesPerConnection) {
        /** Parses the components in their order; "read" or "unread" says whether answers are read. */
        public static Flood parse(List<String> arguments) {
            return new Flood(
                    FloodForm.valueOf(arguments.get(0)),
                    Integer.parseInt(arguments.get(1)),
                    Long.parseLong(arguments.get(2)),
                    arguments.get(3).equals("read"),
                    Long.parseLong(arguments.get(4)));
        }
    }

    /** Starts a flood, which ends by itself. */
    public void start(Flood flood, InetSocketAddress gateway, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(flood.durationMs);
        for (int i = 0; i < flood.clients; i++) {
            RandomGenerator own = random.split();
            startThread("flood-" + i, () -> run(flood, gateway, own, until));
        }
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void run(Flood flood, InetSocketAddress gateway, RandomGenerator random, long until) {
        while (System.nanoTime() < until) {
            String idPrefix = FloodLedger.ID_PREFIX + connections.incrementAndGet() + "-";
            try (Socket socket = new Socket()) {
                socket.connect(gateway, CONNECT_TIMEOUT_MS);
                closeAt(socket, until);
                send(flood, socket, idPrefix, random, until);
                ledger.clientLeft(idPrefix, Clock.system().now());
            } catch (IOException e) {
                ledger.clientLeft(idPrefix, Clock.system().now());
            }
            pause();
        }
    }

    /** Closes the socket at the end of the flood, also while the client is blocked in a write. */
    private static void closeAt(Socket socket, long until) {
        startThread("flood-end", () -> {
            while (System.nanoTime() < until && !socket.isClosed()) {
                pause();
            }
            try {
                socket.close();
            } catch (IOException e) {
                return; // closed already
            }
        });
    }

    private static void pause() {
        try {
            Thread.sleep(RECONNECT_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(Flood flood, Socket socket, String idPrefix, RandomGenerator random, long until)
            throws IOException {
        if (flood.readsAnswers) {
            startThread("flood-reader", () -> discardAnswers(socket));
        }
        OutputStream out = socket.getOutputStream();
        if (flood.form.isAfterStartup()) {
            out.write(MessageWriter.startup().getBytes());
        }
        long number = 0;
        for (long sent = 0; sent < flood.bytesPerConnection && System.nanoTime() < until; ) {
            byte[] block = flood.form.block(random, idPrefix, number);
            out.write(block);
            sent += block.length;
            number += FloodForm.numbersPerBlock();
        }
    }

    private static void discardAnswers(Socket socket) {
        byte[] discarded = new byte[DISCARD_BYTES];
        try {
            InputStream in = socket.getInputStream();
            while (in.read(discarded) >= 0) {
                continue;
            }
        } catch (IOException e) {
            return; // the flood has ended
        }
    }
}
