import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Usual clients beside a few bad ones that send much at once, go, and come again. */
final class FloodCase implements Main.Case {
    private static final String[] FORMS = {"read", "class", "no id", "group"};
    private static final int BAD_CLIENTS = 10;
    private static final int BYTES_EACH = 150_000;
    private static final int USUAL_CLIENTS = 10;
    private static final int WAIT_MS = 600; // 40 % of what the class allows
    private static final int LATE_MS = 500; // "up to half a second after its time it only earns nothing"
    private static final int FORM_MS = 16_000;
    private static final int REST_MS = 2_000;
    /** Where this process itself stood still for so long, an answer isn't held against the gateway. */
    private static final int OWN_STALL_MS = 50;

    private volatile double ownStallAt;
    private volatile String form = "";

    @Override
    public boolean holds(Record record, Path folder, boolean trouble) throws Exception {
        Database.Log log = new Database.Log();
        List<Database> databases = new ArrayList<>();
        Record quiet = new Record(folder.resolve("databases.txt"));
        for (int i = 0; i < 3; i++) {
            databases.add(new Database("s-" + i, quiet, log, i == 0, statement -> 25));
        }
        Agent agent = new Agent();
        for (Database database : databases) {
            agent.list(database.name, database.address(), "ba-petrzalka", "SERVING", 0, database.isPrimary() ? "source" : "copy");
        }
        int port = Gateway.freePort();
        Gateway gateway = new Gateway(folder, "n1", new InetSocketAddress("127.0.0.1", port));
        gateway.limitDescriptors(1024);
        gateway.start(Settings.configuration(
                "n1", "127.0.0.1:" + port, agent.address(), agent.whole(), Settings.tills("once", 0)));
        record.say("ready");
        double end = Clock.now() + FORMS.length * (FORM_MS + REST_MS);
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        ConcurrentLinkedQueue<String> late = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<String> never = new ConcurrentLinkedQueue<>();
        daemon(this::watchThisProcess);
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> usual(gateway, record, number, end, asked, served, late, never));
            thread.start();
            usual.add(thread);
        }
        for (int i = 0; i < FORMS.length && gateway.isAlive(); i++) {
            Clock.sleep(REST_MS);
            form = FORMS[i];
            double until = Clock.now() + FORM_MS;
            record.line("bad clients begin, form: " + form);
            if (trouble) {
                for (int part = 0; part < 2; part++) {
                    daemon(() -> flood(port, until));
                }
            }
            Clock.sleepUntil(until);
            record.line("bad clients end");
        }
        for (Thread thread : usual) {
            thread.join(10_000);
        }
        boolean alive = gateway.isAlive();
        record.say(asked + " requests of usual clients, " + served + " served, " + late.size() + " answered over " + LATE_MS
                + " ms after their time, " + never.size() + " not answered; the gateway "
                + (alive ? "runs" : "has ended, exit code " + gateway.exitCode()));
        late.stream().limit(50).forEach(record::line);
        never.stream().limit(50).forEach(record::line);
        List<String> lines = gateway.log().lines().toList();
        lines.subList(Math.max(0, lines.size() - 3), lines.size()).forEach(record::line);
        gateway.kill();
        if (served.get() < 50) {
            throw new IllegalStateException("too few requests were served");
        }
        return alive && late.isEmpty() && never.isEmpty();
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void watchThisProcess() {
        double before = Clock.now();
        while (true) {
            Clock.sleep(5);
            double now = Clock.now();
            if (now - before > OWN_STALL_MS) {
                ownStallAt = now;
            }
            before = now;
        }
    }

    private void usual(
            Gateway gateway,
            Record record,
            int number,
            double end,
            AtomicInteger asked,
            AtomicInteger served,
            ConcurrentLinkedQueue<String> late,
            ConcurrentLinkedQueue<String> never) {
        Client client = null;
        for (int n = 0; Clock.now() < end && gateway.isAlive(); n++) {
            String id = "usual" + number + "-" + n;
            double sentAt = 0;
            try {
                if (client == null) {
                    client = new Client(gateway.address());
                    client.timeout(4000);
                }
                sentAt = Clock.now();
                client.query(Client.read(id, "offer-rules", "key" + number, WAIT_MS, ""));
                asked.incrementAndGet();
                Client.Answer answer = client.answer();
                double took = Clock.now() - sentAt;
                String words = id + " (" + form + ") " + answer.words() + " after " + Math.round(took) + " ms";
                record.line("client: " + words);
                served.addAndGet(answer.served() ? 1 : 0);
                if (took > WAIT_MS + LATE_MS && ownStallAt < sentAt) {
                    late.add(words);
                }
                Clock.sleep(30);
            } catch (SocketTimeoutException silent) {
                boolean sent = sentAt > 0;
                record.line("client: " + id + (sent ? " no answer for 4 s" : " no greeting for 4 s"));
                if (sent && ownStallAt < sentAt) {
                    never.add(id + " (" + form + ") had no answer for 4 s");
                }
                client = closed(client);
            } catch (IOException ended) {
                // a connection that the gateway ends is no loss by itself: it may not have read the request
                record.line("client: " + id + " " + ended);
                client = closed(client);
                Clock.sleep(20);
            }
        }
    }

    private static Client closed(Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException gone) {
            return null;
        }
        return null;
    }

    /** Half of the bad clients, on one thread: each connects, sends at full speed, reads, goes, and comes again. */
    private void flood(int port, double until) {
        try (Selector selector = Selector.open()) {
            long[] number = {(long) Clock.now() * 1000};
            for (int i = 0; i < BAD_CLIENTS / 2; i++) {
                new Bad(selector, port);
            }
            ByteBuffer read = ByteBuffer.allocate(1 << 16);
            while (Clock.now() < until) {
                selector.select(50);
                Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    ((Bad) key.attachment()).run(key, read, number);
                }
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
        } catch (IOException failure) {
            return; // the gateway has ended
        }
    }

    private final class Bad {
        private final Selector selector;
        private final int port;
        private SocketChannel channel;
        private ByteBuffer out;
        private int sent;

        private Bad(Selector selector, int port) throws IOException {
            this.selector = selector;
            this.port = port;
            connect();
        }

        private void connect() throws IOException {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(new InetSocketAddress("127.0.0.1", port));
            out = ByteBuffer.wrap(Wire.startup());
            sent = 0;
            channel.register(selector, SelectionKey.OP_CONNECT, this);
        }

        private void run(SelectionKey key, ByteBuffer read, long[] number) throws IOException {
            try {
                if (key.isConnectable()) {
                    channel.finishConnect();
                    key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                }
                if (key.isReadable()) {
                    read.clear();
                    if (channel.read(read) < 0) {
                        throw new IOException("ended");
                    }
                }
                if (key.isValid() && key.isWritable()) {
                    if (!out.hasRemaining() && sent >= BYTES_EACH) {
                        throw new IOException("goes");
                    }
                    if (!out.hasRemaining()) {
                        out = ByteBuffer.wrap(block(number[0]));
                        number[0] += 200;
                    }
                    sent += channel.write(out);
                }
            } catch (IOException ended) {
                channel.close();
                connect();
            }
        }

        private byte[] block(long first) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (long n = first; n < first + 200; n++) {
                String read = Client.read("bad" + n, "offer-rules", "k", 800, "");
                bytes.write(new Wire().query(switch (form) {
                    case "class" -> read.replace("offer-rules", "class" + n);
                    case "no id" -> read.replace("id=bad" + n + ",", "");
                    case "group" -> read.replace("cluster=0", "cluster=" + n);
                    default -> read;
                }).bytes());
            }
            return bytes.toByteArray();
        }
    }
}
