import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A primary hands over; reads that must see all earlier writes come to a gateway that has not heard of it. The first is
 * answered with the new role; others wait for connections that come up late.
 */
final class RoleCase implements Main.Case {
    private static final int ROUNDS = 13;
    private static final int READS = 6;
    /** What an answer tells counts as known this long after it was written. */
    private static final double KNOWN_AFTER_MS = 100;
    /** Each time limit is so much longer on sockets. */
    private static final double SLACK_MS = 50;

    private final double[] toldAt = new double[5];
    private final boolean[] leads = new boolean[5];

    @Override
    public boolean holds(Record record, Path folder, boolean trouble) throws Exception {
        Database.Log log = new Database.Log();
        Random random = new Random(67);
        ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger excused = new AtomicInteger();
        List<Database> databases = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            int number = i;
            toldAt[i] = Double.MAX_VALUE;
            leads[i] = i == 0;
            databases.add(new Database("s-" + i, record, log, i == 0, new Database.Behaviour() {
                @Override
                public double work(Database.Statement statement) {
                    return !statement.write ? 170 : leads[number] ? 60 : 1;
                }

                @Override
                public double connectionLateBy() {
                    synchronized (random) {
                        return trouble && random.nextInt(3) == 0 ? 180 + random.nextInt(40) : 0;
                    }
                }

                @Override
                public void toldAsCopy() {
                    if (!leads[number]) {
                        toldAt[number] = Math.min(toldAt[number], Clock.now());
                    }
                }

                @Override
                public void readAnswered(Database.Statement statement, double position, double lagAtArrival) {
                    if (!statement.type.equals("approval-check") || leads[number]) {
                        return;
                    }
                    boolean missing = log.newestBefore(statement.key, statement.arrivedAt) > position;
                    boolean told = statement.arrivedAt > toldAt[number] + KNOWN_AFTER_MS + SLACK_MS;
                    if (missing && told) {
                        broken.add(statement.id + " was written to s-" + number + " "
                                + Math.round(statement.arrivedAt - toldAt[number])
                                + " ms after it had told that it leads no longer, and misses a write");
                    } else if (missing) {
                        excused.incrementAndGet();
                    }
                }
            }));
        }
        Agent agent = new Agent();
        for (Database database : databases) {
            agent.list(database.name, database.address(), "ba-petrzalka", "SERVING", 0, database.isPrimary() ? "source" : "copy");
        }
        int port = Gateway.freePort();
        Gateway gateway = new Gateway(folder, "n1", new InetSocketAddress("127.0.0.1", port));
        gateway.start(Settings.configuration(
                "n1", "127.0.0.1:" + port, agent.address(), agent.whole(), Settings.tills("once", 0)));
        record.say("ready");
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < READS; i++) {
            clients.add(new Client(gateway.address()));
        }
        Client till = new Client(gateway.address());
        int primary = 0;
        for (int round = 0; round < ROUNDS; round++) {
            // the gateway knows the primary, and has one connection to it at rest
            for (int i = 0; i < 12; i++) {
                clients.get(0).query(Client.read("warm" + round + "-" + i, "approval-check", "till", 2000, ""));
                clients.get(0).answer();
                Clock.sleep(20);
            }
            double from = Clock.now();
            int next = (primary + 1 + random.nextInt(4)) % 5;
            Database old = databases.get(primary);
            leads[primary] = false;
            old.setPrimary(false);
            old.setLag(now -> 15 + Math.min(1500, 0.9 * (now - from)));
            record.line("s-" + primary + " drains and hands over; it applies the log slowly from now on");
            Clock.sleep(500);
            leads[next] = true;
            toldAt[next] = Double.MAX_VALUE;
            databases.get(next).setPrimary(true);
            databases.get(next).setLag(now -> 15.0);
            record.line("s-" + next + " leads");
            Clock.sleep(300);
            Database.Log.Commit commit = log.commit("elsewhere" + round, "till", "v" + (round + 1));
            record.line("s-" + next + " commits a write from another gateway at " + commit.at());
            Clock.sleep(100);
            till.query(Client.write("sale" + round, "sale-close", "other", "v", 5000));
            for (int i = 0; i < READS; i++) {
                clients.get(i).query(Client.read("check" + round + "-" + i, "approval-check", "till", 2000, ""));
            }
            for (int i = 0; i < READS; i++) {
                Client.Answer answer = clients.get(i).answer();
                served.addAndGet(answer.served() ? 1 : 0);
                record.line("client: check" + round + "-" + i + " " + answer.words() + ", written before: v" + (round + 1));
            }
            record.line("client: sale" + round + " " + till.answer().words());
            // the list tells of the drain some seconds late; the server restarts and is listed again
            Clock.sleepUntil(from + 3400);
            agent.list(old.name, old.address(), "ba-petrzalka", "DRAINING", 0, "copy");
            Clock.sleepUntil(from + 4500);
            old.setLag(now -> 15.0);
            agent.list(old.name, old.address(), "ba-petrzalka", "SERVING", (long) Clock.now(), "copy");
            primary = next;
        }
        record.say(served + " reads served, " + excused + " without an earlier write but excused, " + broken.size()
                + " without an earlier write after the server had told its role");
        broken.forEach(record::line);
        gateway.kill();
        if (served.get() < ROUNDS) {
            throw new IllegalStateException("too few reads were served");
        }
        return broken.isEmpty();
    }
}
