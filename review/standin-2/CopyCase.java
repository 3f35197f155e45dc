import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Reads while some good answers bring a second copy right behind, when nothing else waits on the connection. */
final class CopyCase implements Main.Case {
    private static final int CLIENTS = 8;
    private static final int SECONDS = 25;
    private static final int ONE_IN = 50;
    private static final double WORK_MS = 4;
    private static final double ONE_WAY_MS = 2;
    private static final double JITTER = 0.15;

    private static final String[] ZONES = {"ba-petrzalka", "za-bytcica", "ke-saca"};

    @Override
    public boolean holds(Record record, Path folder, boolean trouble) throws Exception {
        Database.Log log = new Database.Log();
        for (int i = 0; i < CLIENTS; i++) {
            log.commit("first" + i, "key" + i, "value of key" + i);
        }
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger copies = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        ConcurrentLinkedQueue<String> foreign = new ConcurrentLinkedQueue<>();
        List<Database> databases = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            databases.add(new Database("s-" + i, record, log, i == 0, new Database.Behaviour() {
                @Override
                public double work(Database.Statement statement) {
                    return WORK_MS;
                }

                @Override
                public boolean copies(Database.Statement statement) {
                    return trouble && answers.incrementAndGet() % ONE_IN == 0;
                }

                @Override
                public void copySent(Database.Statement statement) {
                    copies.incrementAndGet();
                }
            }));
        }
        // the first is in the gateway's own hall, the others across
        databases.get(0).setLink(0.24, JITTER);
        databases.get(1).setLink(ONE_WAY_MS, JITTER);
        databases.get(2).setLink(ONE_WAY_MS, JITTER);
        Agent agent = new Agent();
        for (Database database : databases) {
            agent.list(database.name, database.address(), ZONES[databases.indexOf(database) % 3], "SERVING", 0, database.isPrimary() ? "source" : "copy");
        }
        int port = Gateway.freePort();
        Gateway gateway = new Gateway(folder, "n1", new InetSocketAddress("127.0.0.1", port));
        List<Settings.Type> types = Settings.tills("once", 0);
        gateway.start(Settings.configuration("n1", "127.0.0.1:" + port, agent.address(), agent.whole(), types, "piggyback"));
        record.say("ready");
        double end = Clock.now() + SECONDS * 1000.0;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String key = "key" + i;
            Thread thread = new Thread(() -> {
                try (Client client = new Client(gateway.address())) {
                    client.timeout(5000);
                    for (int n = 0; Clock.now() < end; n++) {
                        String id = key + "-" + n;
                        client.query(Client.read(id, "offer-rules", key, 1500, ""));
                        Client.Answer answer = client.answer();
                        record.line("client: " + id + " " + answer.words());
                        if (answer.served()) {
                            served.incrementAndGet();
                            String value = new String(answer.value(), StandardCharsets.UTF_8);
                            if (!value.equals("value of " + key)) {
                                foreign.add(id + " was served '" + value + "'");
                            }
                        }
                    }
                } catch (Exception failure) {
                    record.say(key + ": " + failure);
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record.say(served + " reads served, " + copies + " copies sent, " + foreign.size()
                + " reads served with the value of another key");
        foreign.forEach(record::line);
        gateway.kill();
        if (served.get() < 100 * SECONDS) {
            throw new IllegalStateException("too few reads were served");
        }
        return foreign.isEmpty();
    }
}
