package ploverdale.tools.stand;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/**
 * The datagram network between gateways. Each gateway reaches every other at a separate address, as in a deployment.
 * Datagrams are lost, delayed, duplicated and reordered at random; each direction of each pair has its own conditions.
 */
public final class LossyLink {
    /**
     * What happens to the datagrams of one direction. The delay is random, so that datagrams are reordered.
     *
     * @param loss the share of datagrams lost
     * @param duplicated the share of datagrams delivered twice
     * @param maxDelayMs the longest delay in milliseconds
     */
    public record Conditions(double loss, double duplicated, int maxDelayMs) {
        /** Returns the default conditions with the given loss. */
        public static Conditions withLoss(double loss) {
            return new Conditions(loss, 0.05, 20);
        }

        /** Parses loss:SHARE, twice:SHARE or delay:MS; returns null, for the default conditions, if it is "usual". */
        public static Conditions parse(String change) {
            if (change.equals("usual")) {
                return null;
            }
            double value = Double.parseDouble(change.substring(change.indexOf(':') + 1));
            if (change.startsWith("loss:")) {
                return withLoss(value);
            }
            return change.startsWith("twice:") ? new Conditions(0, value, 20) : new Conditions(0, 0.05, (int) value);
        }
    }

    private static final AtomicInteger RUNS = new AtomicInteger();

    private final Vertx vertx;
    private final RandomGenerator random;
    private final Conditions defaults;
    private final Conditions[][] current; // by sender and receiver; null: the defaults
    private final DatagramSocket[][] sockets; // by the gateway that sends to it and the gateway that it forwards to

    /** The port of each gateway on its own host address, which nothing else binds in the meantime. */
    private final int[] ports;

    private final String[] hosts;
    private int datagrams;
    private int lost;
    private long bytes;

    private LossyLink(Vertx vertx, RandomGenerator random, double loss, int gateways) {
        this.vertx = vertx;
        this.random = random;
        defaults = Conditions.withLoss(loss);
        current = new Conditions[gateways][gateways];
        sockets = new DatagramSocket[gateways][gateways];
        ports = new int[gateways];
        hosts = new String[gateways];
        int run = RUNS.getAndIncrement();
        for (int i = 0; i < gateways; i++) {
            hosts[i] = "127." + (32 + ProcessHandle.current().pid() % 200) + "." + run % 250 + "." + (1 + i);
        }
    }

    /** Opens a network between so many gateways; the future completes when all addresses are bound. */
    public static Future<LossyLink> open(Vertx vertx, RandomGenerator random, double loss, int gateways) {
        LossyLink link = new LossyLink(vertx, random, loss, gateways);
        List<Future<?>> bindings = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            for (int j = 0; j < gateways; j++) {
                DatagramSocket socket = vertx.createDatagramSocket(new DatagramSocketOptions());
                link.sockets[i][j] = socket;
                int from = i;
                int to = j;
                bindings.add(socket.listen(0, i == j ? link.hosts[i] : "127.0.0.1")
                        .onSuccess(x -> x.handler(p -> link.carry(from, to, p.data()))));
            }
        }
        return Future.all(bindings).compose(x -> {
            // A gateway listens at its own entry in the peer list: free that port so that it can bind it.
            Future<?> closed = Future.succeededFuture();
            for (int i = 0; i < gateways; i++) {
                link.ports[i] = link.sockets[i][i].localAddress().port();
                DatagramSocket own = link.sockets[i][i];
                closed = closed.compose(y -> own.close());
            }
            return closed.map(link);
        });
    }

    /** Returns the address at which one gateway reaches another, or where it listens itself if both are the same. */
    public String address(int target, int observer) {
        return target == observer
                ? hosts[observer] + ":" + ports[observer]
                : "127.0.0.1:" + sockets[observer][target].localAddress().port();
    }

    /** Returns the loopback address that belongs to that gateway alone. */
    public String host(int gateway) {
        return hosts[gateway];
    }

    /** Sets the conditions of one direction from now on; null restores the defaults. */
    public void setConditions(int from, int to, Conditions conditions) {
        current[from][to] = conditions;
    }

    private void carry(int from, int to, io.vertx.core.buffer.Buffer data) {
        datagrams++;
        bytes += data.length();
        Conditions conditions = current[from][to] == null ? defaults : current[from][to];
        for (int copies = random.nextDouble() < conditions.duplicated ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() < conditions.loss) {
                lost++;
            } else {
                vertx.setTimer(
                        1 + random.nextInt(conditions.maxDelayMs),
                        x -> sockets[to][from].send(data, ports[to], hosts[to]));
            }
        }
    }

    public void close() {
        for (DatagramSocket[] row : sockets) {
            for (DatagramSocket socket : row) {
                socket.close();
            }
        }
    }

    /** Returns how many datagrams were sent, lost ones included. */
    public int datagrams() {
        return datagrams;
    }

    /** Returns how many datagrams were lost; each of two duplicates counts. */
    public int lost() {
        return lost;
    }

    /** Returns the bytes of all datagrams sent. */
    public long bytes() {
        return bytes;
    }
}
