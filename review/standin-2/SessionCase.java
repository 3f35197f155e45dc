import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Tills whose session has two writes open at a time. The answer of one write in three is lost with its connection some
 * time after the commit; the gateway sends the write again, and the set drops the repeat. Replicas apply the log slowly,
 * with and without the disruption.
 */
final class SessionCase implements Main.Case {
    private static final int TILLS = 8;
    private static final int ROUNDS = 20;
    private static final double RESET_AFTER_MS = 600;

    private static final String[] ZONES = {"ba-petrzalka", "za-bytcica", "ke-saca"};

    @Override
    public boolean holds(Record record, Path folder, boolean trouble) throws Exception {
        Database.Log log = new Database.Log();
        Set<String> lost = ConcurrentHashMap.newKeySet();
        ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
        AtomicInteger reads = new AtomicInteger();
        AtomicInteger byReplicas = new AtomicInteger();
        List<Database> databases = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            boolean first = i == 0;
            databases.add(new Database("s-" + i, record, log, first, new Database.Behaviour() {
                @Override
                public double work(Database.Statement statement) {
                    return 40;
                }

                @Override
                public boolean answers(Database.Statement statement) {
                    if (!trouble || !statement.id.endsWith("w1") || !lost.add(statement.id)) {
                        return true;
                    }
                    databases.get(0).scheduler().schedule(
                            () -> Database.reset(statement.connection), (long) RESET_AFTER_MS, TimeUnit.MILLISECONDS);
                    return false;
                }

                @Override
                public void readAnswered(Database.Statement statement, double position, double lagAtArrival) {
                    if (!first && statement.type.equals("basket-read")) {
                        byReplicas.incrementAndGet();
                    }
                }
            }));
        }
        Agent agent = new Agent();
        for (Database database : databases) {
            agent.list(database.name, database.address(), ZONES[databases.indexOf(database) % 3], "SERVING", 0, database.isPrimary() ? "source" : "copy");
        }
        int port = Gateway.freePort();
        Gateway gateway = new Gateway(folder, "n1", new InetSocketAddress("127.0.0.1", port));
        List<Settings.Type> types = Settings.tills("by_key", 2000);
        gateway.start(Settings.configuration("n1", "127.0.0.1:" + port, agent.address(), agent.whole(), types));
        record.say("ready");

        double lagFrom = Clock.now() + 3000;
        for (int i = 1; i < 4; i++) {
            databases.get(i).setLag(now -> 20 + Math.max(0, 0.05 * (now - lagFrom)));
        }
        List<Thread> tills = new ArrayList<>();
        for (int till = 0; till < TILLS; till++) {
            String key = "till" + till;
            int offset = till * 150;
            Thread thread = new Thread(() -> till(gateway, record, key, offset, lagFrom, reads, broken));
            thread.start();
            tills.add(thread);
        }
        for (Thread till : tills) {
            till.join();
        }
        record.say(reads + " session reads answered, " + byReplicas + " by replicas, " + broken.size()
                + " of them without a write of their session that was acked before");
        broken.forEach(record::line);
        gateway.kill();
        if (reads.get() < TILLS * ROUNDS || byReplicas.get() == 0) {
            throw new IllegalStateException("too few reads were served");
        }
        return broken.isEmpty();
    }

    private static void till(
            Gateway gateway,
            Record record,
            String key,
            int offset,
            double from,
            AtomicInteger reads,
            ConcurrentLinkedQueue<String> broken) {
        try (Client client = new Client(gateway.address());
                Client second = new Client(gateway.address())) {
            client.timeout(6000);
            second.timeout(6000);
            Clock.sleepUntil(from - 2500 + offset);
            for (int round = 0; round < ROUNDS; round++) {
                String id = key + "-" + round + "-";
                int version = round * 10;
                second.query(Client.write(id + "w0", "sale-close", key, Integer.toString(version), 5000));
                record.line("client: " + id + "w0 " + second.answer().words());
                client.query(Client.write(id + "w1", "sale-close", key, Integer.toString(version + 1), 5000));
                Clock.sleep(RESET_AFTER_MS - 30);
                second.query(Client.write(id + "w2", "sale-close", key, Integer.toString(version + 2), 5000));
                Client.Answer two = second.answer();
                record.line("client: " + id + "w2 " + two.words());
                Client.Answer one = client.answer();
                record.line("client: " + id + "w1 " + one.words());
                int acked = Math.max(one.served() ? version + 1 : 0, two.served() ? version + 2 : 0);
                for (int i = 0; i < 3; i++) {
                    second.query(Client.read(id + "r" + i, "basket-read", key, 1000, ""));
                    Client.Answer read = second.answer();
                    record.line("client: " + id + "r" + i + " " + read.words() + ", acked before: " + acked);
                    if (read.served()) {
                        reads.incrementAndGet();
                        String value = new String(read.value(), StandardCharsets.UTF_8);
                        int seen = value.equals("none") ? 0 : Integer.parseInt(value);
                        if (seen < acked) {
                            broken.add(id + "r" + i + " was served " + value + " after " + acked + " had been acked");
                        }
                    }
                    Clock.sleep(60);
                }
            }
        } catch (Exception failure) {
            record.say(key + ": " + failure);
        }
    }
}
