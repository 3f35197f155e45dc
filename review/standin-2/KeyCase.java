import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Writes whose keys are new each time and long, within what the protocol page allows. */
final class KeyCase implements Main.Case {
    private static final int CLIENTS = 8;
    private static final int SECONDS = 70;
    private static final int PAUSE_MS = 33;
    private static final int LENGTH = 16_000;

    @Override
    public boolean holds(Record record, Path folder, boolean trouble) throws Exception {
        Database.Log log = new Database.Log();
        List<Database> databases = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            databases.add(new Database("s-" + i, record, log, i == 0, statement -> 20));
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
        AtomicInteger served = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        String padding = "k".repeat(LENGTH);
        double end = Clock.now() + SECONDS * 1000.0;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> {
                try (Client client = new Client(gateway.address())) {
                    client.timeout(8000);
                    for (int n = 0; Clock.now() < end && broken.get() == 0; n++) {
                        String id = "w" + number + "-" + n;
                        String key = "key-" + id + (trouble ? "-" + padding : "");
                        client.query(Client.write(id, "sale-close", key, "v", 5000));
                        Client.Answer answer = client.answer();
                        record.line("client: " + id + " " + answer.words());
                        served.addAndGet(answer.served() ? 1 : 0);
                        Clock.sleep(PAUSE_MS);
                    }
                } catch (Exception failure) {
                    broken.incrementAndGet();
                    record.say("client " + number + ": " + failure);
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Clock.sleep(500);
        boolean alive = gateway.isAlive();
        record.say(served + " writes served; the gateway " + (alive ? "runs" : "has ended, exit code " + gateway.exitCode()));
        gateway.log().lines().skip(Math.max(0, gateway.log().lines().count() - 5)).forEach(record::say);
        gateway.kill();
        return alive;
    }
}
