package ploverdale.tools.stand;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import ploverdale.tools.ledger.FloodLedger;

/**
 * Clients that send one form of message at full speed. Few threads carry them all, since more would take the processors
 * from the gateway and the other clients on this machine.
 */
public final class FloodClients {
    private static final int THREADS_PER_FLOOD = 2;
    private static final long IDLE_SLEEP_MS = 1;

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
        /** Parses the arguments of a schedule's step: the gateway, and the components in their order. */
        public static Flood parse(List<String> arguments) {
            return new Flood(
                    FloodForm.valueOf(arguments.get(1)),
                    Integer.parseInt(arguments.get(2)),
                    Long.parseLong(arguments.get(3)),
                    arguments.get(4).equals("read"),
                    Long.parseLong(arguments.get(5)));
        }
    }

    /** Starts a flood, which ends by itself. */
    public void start(Flood flood, InetSocketAddress gateway, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(flood.durationMs);
        for (int i = 0; i < THREADS_PER_FLOOD; i++) {
            List<FloodConnection> clients = new ArrayList<>();
            for (int client = i; client < flood.clients; client += THREADS_PER_FLOOD) {
                clients.add(new FloodConnection(flood, gateway, random.split(), ledger, this::nextIdPrefix));
            }
            Thread thread = new Thread(() -> run(clients, until), "flood-" + i);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private String nextIdPrefix() {
        return FloodLedger.ID_PREFIX + connections.incrementAndGet() + "-";
    }

    private static void run(List<FloodConnection> clients, long until) {
        while (System.nanoTime() < until) {
            boolean advanced = false;
            for (FloodConnection client : clients) {
                advanced |= client.advance();
            }
            if (!advanced) {
                sleep();
            }
        }
        clients.forEach(FloodConnection::close);
    }

    private static void sleep() {
        try {
            Thread.sleep(IDLE_SLEEP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
