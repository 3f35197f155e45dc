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
 * The way between instances: each sees every other at an address of its own, as on the platform. Datagrams are lost by
 * chance, delayed, and now and then come twice or overtake one another; each direction between two has a weather of its own.
 */
public final class LossyLink {
    /** What happens to datagrams: shares lost and doubled, and the longest delay; by chance, so that they overtake. */
    public record Conditions(double loss, double duplicated, int maxDelayMs) {
        /** As it is when nothing is wrong, but for this loss. */
        public static Conditions withLoss(double loss) {
            return new Conditions(loss, 0.05, 20);
        }
    }

    private static final AtomicInteger RUNS = new AtomicInteger();

    private final Vertx vertx;
    private final RandomGenerator random;
    private final Conditions defaults;
    private final Conditions[][] current; // from one to another; null: as usual
    private final DatagramSocket[][] sockets; // by who sees it and whom it stands for
    private final int[] ports; // port of each instance, at an address of its own, which nobody else binds meanwhile
    private final String[] hosts;
    private int datagrams;
    private int lost;
    private long bytes;

    private LossyLink(Vertx vertx, RandomGenerator random, double loss, int instances) {
        this.vertx = vertx;
        this.random = random;
        defaults = Conditions.withLoss(loss);
        current = new Conditions[instances][instances];
        sockets = new DatagramSocket[instances][instances];
        ports = new int[instances];
        hosts = new String[instances];
        int run = RUNS.getAndIncrement();
        for (int i = 0; i < instances; i++) {
            hosts[i] = "127." + (32 + ProcessHandle.current().pid() % 200) + "." + run % 250 + "." + (1 + i);
        }
    }

    /** Opens it; done when all addresses are there. */
    public static Future<LossyLink> open(Vertx vertx, RandomGenerator random, double loss, int instances) {
        LossyLink link = new LossyLink(vertx, random, loss, instances);
        List<Future<?>> all = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            for (int j = 0; j < instances; j++) {
                DatagramSocket s = vertx.createDatagramSocket(new DatagramSocketOptions());
                link.sockets[i][j] = s;
                int from = i;
                int to = j;
                all.add(s.listen(0, i == j ? link.hosts[i] : "127.0.0.1")
                        .onSuccess(x -> x.handler(p -> link.carry(from, to, p.data()))));
            }
        }
        return Future.all(all).compose(x -> {
            // An instance's own entry in its list is where it hears; the port is taken over by the instance.
            Future<?> closed = Future.succeededFuture();
            for (int i = 0; i < instances; i++) {
                link.ports[i] = link.sockets[i][i].localAddress().port();
                DatagramSocket own = link.sockets[i][i];
                closed = closed.compose(y -> own.close());
            }
            return closed.map(link);
        });
    }

    /** Where an instance is seen by another, or hears itself. */
    public String address(int of, int at) {
        return of == at
                ? hosts[at] + ":" + ports[at]
                : "127.0.0.1:" + sockets[at][of].localAddress().port();
    }

    /** An address of loopback that is that instance's alone. */
    public String host(int instance) {
        return hosts[instance];
    }

    /** From now on so in this one direction; null: as defaults. */
    public void setConditions(int from, int to, Conditions conditions) {
        current[from][to] = conditions;
    }

    private void carry(int from, int to, io.vertx.core.buffer.Buffer data) {
        datagrams++;
        bytes += data.length();
        Conditions w = current[from][to] == null ? defaults : current[from][to];
        for (int copies = random.nextDouble() < w.duplicated ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() < w.loss) {
                lost++;
            } else {
                vertx.setTimer(1 + random.nextInt(w.maxDelayMs), x -> sockets[to][from].send(data, ports[to], hosts[to]));
            }
        }
    }

    public void close() {
        for (DatagramSocket[] row : sockets) {
            for (DatagramSocket s : row) {
                s.close();
            }
        }
    }

    public int datagrams() {
        return datagrams;
    }

    public int lost() {
        return lost;
    }

    public long bytes() {
        return bytes;
    }
}
