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
    public record Weather(double loss, double twice, int delayMostMs) {
        /** As it is when nothing is wrong, but for this loss. */
        public static Weather losing(double loss) {
            return new Weather(loss, 0.05, 20);
        }
    }

    private static final AtomicInteger RUNS = new AtomicInteger();

    private final Vertx vertx;
    private final RandomGenerator random;
    private final Weather usual;
    private final Weather[][] now; // from one to another; null: as usual
    private final DatagramSocket[][] ends; // by who sees it and whom it stands for
    private final int[] hears; // port of each instance, at an address of its own, which nobody else binds meanwhile
    private final String[] hosts;
    private int carried;
    private int lost;
    private long bytes;

    private LossyLink(Vertx vertx, RandomGenerator random, double loss, int instances) {
        this.vertx = vertx;
        this.random = random;
        usual = Weather.losing(loss);
        now = new Weather[instances][instances];
        ends = new DatagramSocket[instances][instances];
        hears = new int[instances];
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
                link.ends[i][j] = s;
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
                link.hears[i] = link.ends[i][i].localAddress().port();
                DatagramSocket own = link.ends[i][i];
                closed = closed.compose(y -> own.close());
            }
            return closed.map(link);
        });
    }

    /** Where an instance is seen by another, or hears itself. */
    public String address(int of, int at) {
        return of == at
                ? hosts[at] + ":" + hears[at]
                : "127.0.0.1:" + ends[at][of].localAddress().port();
    }

    /** An address of loopback that is that instance's alone. */
    public String host(int instance) {
        return hosts[instance];
    }

    /** From now on so in this one direction; null: as usual. */
    public void weather(int from, int to, Weather weather) {
        now[from][to] = weather;
    }

    private void carry(int from, int to, io.vertx.core.buffer.Buffer data) {
        carried++;
        bytes += data.length();
        Weather w = now[from][to] == null ? usual : now[from][to];
        for (int copies = random.nextDouble() < w.twice ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() < w.loss) {
                lost++;
            } else {
                vertx.setTimer(1 + random.nextInt(w.delayMostMs), x -> ends[to][from].send(data, hears[to], hosts[to]));
            }
        }
    }

    public void close() {
        for (DatagramSocket[] row : ends) {
            for (DatagramSocket s : row) {
                s.close();
            }
        }
    }

    public int carried() {
        return carried;
    }

    public int lost() {
        return lost;
    }

    public long bytes() {
        return bytes;
    }
}
