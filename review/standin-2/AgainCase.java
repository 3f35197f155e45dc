import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends a sale and leaves, and a request with the same id comes on a new connection, while the gateway is held up.
 */
final class AgainCase implements Main.Case {
    private static final int ROUNDS = 60;
    private static final int PAUSE_MS = 120;

    @Override
    public boolean holds(Record record, Path folder, boolean trouble) throws Exception {
        Database.Log log = new Database.Log();
        Map<String, AtomicInteger> arrived = new ConcurrentHashMap<>();
        List<Database> databases = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            databases.add(new Database("s-" + i, record, log, i == 0, statement -> {
                if (statement.write) {
                    arrived.computeIfAbsent(statement.id, id -> new AtomicInteger()).incrementAndGet();
                }
                return 25;
            }));
        }
        databases.forEach(Database::runRepeats);
        Agent agent = new Agent();
        for (Database database : databases) {
            agent.list(database.name, database.address(), "ba-petrzalka", "SERVING", 0, database.isPrimary() ? "source" : "copy");
        }
        int port = Gateway.freePort();
        Gateway gateway = new Gateway(folder, "n1", new InetSocketAddress("127.0.0.1", port));
        gateway.start(Settings.configuration(
                "n1", "127.0.0.1:" + port, agent.address(), agent.whole(), Settings.tills("once", 0)));
        record.say("ready");
        int twice = 0;
        int once = 0;
        for (int round = 0; round < ROUNDS; round++) {
            others(gateway, record, round);
            String id = "sale" + round;
            byte[] sale = new Wire().query(Client.write(id, "sale-close", "till", "v" + round, 3000)).bytes();
            Client first = new Client(gateway.address());
            Clock.sleep(40);
            double stoppedAt = Clock.now();
            gateway.signal("STOP");
            record.line("gateway held up");
            first.send(sale);
            record.line("client: " + id + " sent");
            Clock.sleep(5);
            if (trouble) {
                first.close();
                record.line("client: has left");
                Clock.sleep(20);
                try (Socket again = new Socket("127.0.0.1", port)) {
                    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                    bytes.write(Wire.startup());
                    bytes.write(sale);
                    again.getOutputStream().write(bytes.toByteArray());
                    record.line("client: " + id + " comes again on a new connection");
                    goOn(gateway, record, stoppedAt);
                    Clock.sleep(250);
                    byte[] answer = new byte[4096];
                    again.setSoTimeout(4000);
                    int length = again.getInputStream().read(answer);
                    record.line("client: " + id + " got " + length + " bytes"
                            + (new String(answer, 0, Math.max(0, length), "ISO-8859-1").contains("INSERT") ? ", served" : ""));
                }
            } else {
                goOn(gateway, record, stoppedAt);
                record.line("client: " + id + " " + first.answer().words());
                first.close();
            }
            int times = arrived.getOrDefault(id, new AtomicInteger()).get();
            once += times == 1 ? 1 : 0;
            if (times > 1) {
                twice++;
                record.line(id + " was sent to the primary " + times + " times, and ran each time");
            }
        }
        record.say("of " + ROUNDS + " sales " + once + " ran once and " + twice + " ran more than once");
        gateway.kill();
        if (!trouble && once < ROUNDS / 2) {
            throw new IllegalStateException("too few sales ran");
        }
        return twice == 0;
    }

    private static void goOn(Gateway gateway, Record record, double stoppedAt) throws Exception {
        Clock.sleepUntil(stoppedAt + PAUSE_MS);
        gateway.signal("CONT");
        record.line("gateway goes on after " + Math.round(Clock.now() - stoppedAt) + " ms");
    }

    /** Four sales of other clients at a time, as a busy gateway has them. */
    private static void others(Gateway gateway, Record record, int round) throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Client client = new Client(gateway.address());
            client.query(Client.write("other" + round + "-" + i, "sale-close", "other" + i, "v", 3000));
            clients.add(client);
        }
        for (Client client : clients) {
            client.timeout(5000);
            client.answer();
            client.close();
        }
    }
}
