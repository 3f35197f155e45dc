package ploverdale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.net.Gateway;
import ploverdale.net.eventloop.SingleLoopVertx;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.settings.ConfigurationFile;

/** Stand-ins on loopback for the surroundings of a real gateway. */
final class FakeHost {
    private FakeHost() {}

    /** Stand-ins on loopback for all that surrounds a real gateway; a story drives them by hand. */
    static final class Net implements AutoCloseable {
        static final long PATIENCE_S = 20; // long, for loaded machines; nothing waits so long when all is well
        private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
        private volatile String pausesAt;
        private volatile CountDownLatch paused;
        private volatile CountDownLatch goesOn;
        private final List<AutoCloseable> open = new ArrayList<>();
        final Vertx vertx;
        final Map<String, Server> servers = new LinkedHashMap<>();
        final Registry registry;
        Gateway gateway;
        UnaryOperator<String> settings = told -> told; // what a story changes of the configuration
        Clock clock = Clock.system(); // the gateway's
        private int listen; // 0: at a free port
        private int names;

        /** A gateway among servers, the first of them the primary; not yet started. */
        Net(String... ids) throws IOException {
            this(SingleLoopVertx.create(), ids);
        }

        /** The same, with an event loop of the test's. */
        Net(Vertx vertx, String... ids) throws IOException {
            this.vertx = vertx;
            for (String id : ids) {
                servers.put(id, new Server(id.startsWith("p")));
            }
            registry = new Registry(list(1, true, ids));
        }

        /** The list as discovery words it; an id with a colon names its phase. */
        String list(int revision, boolean whole, String... ids) {
            List<String> rows = new ArrayList<>();
            for (String id : ids) {
                String[] parts = id.split(":");
                rows.add("{\"id\":\"" + parts[0] + "\",\"host_port\":\"127.0.0.1:"
                        + servers.get(parts[0]).port() + "\",\"cell\":1,\"phase\":\""
                        + (parts.length > 1 ? parts[1] : "SERVING") + "\"}");
            }
            return "{\"revision\":" + revision + ",\"complete\":" + whole + ",\"members\":[" + String.join(",", rows)
                    + "]}";
        }

        Net started() throws Exception {
            return started(256, 30_000);
        }

        /** A configuration of the gateway, with discovery there. */
        static String configuration(Registry registry, int sockets, long idleMs) {
            return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + registry.port()
                    + "\",\"seed\":\"7\",\"limits\":{\"sockets\":" + sockets + "},\"known\":" + registry.whole + ","
                    + "\"settings\":{\"balancers\":1,\"accounts\":[{\"name\":\"north\",\"quotaPerS\":1000}],\"profiles\":["
                    + "{\"name\":\"page\",\"aimMs\":10000,\"deadlineMs\":20000,\"effect\":\"repeatable\",\"worth\":1},"
                    + "{\"name\":\"quick\",\"aimMs\":600,\"deadlineMs\":1000,\"effect\":\"repeatable\",\"worth\":1},"
                    + "{\"name\":\"order\",\"aimMs\":10000,\"deadlineMs\":20000,\"effect\":\"once\",\"worth\":5,"
                    + "\"lateShare\":0.5}],\"specifics\":{\"classRead\":[\"lag_bound\",\"eventual\",\"mutate\"],"
                    + "\"oldestDataMs\":[30000,0,0],\"positions\":true,\"checks\":\"silent\"},"
                    + "\"report\":{\"via\":\"piggyback\",\"fields\":[\"x0\",\"x1\",\"busy\"]},"
                    + "\"policyLimits\":{\"sendCap\":4,\"cancel\":true,\"probes\":true,\"retryAfter\":true,"
                    + "\"maxRetryAfterMs\":1000,\"connectTimeoutMs\":2000,\"idleCloseMs\":" + idleMs
                    + "},\"contract\":{"
                    + "\"startCapacity\":0.3,\"coldMs\":10000,\"overloadFactor\":3,\"overloadForMs\":1000}}}";
        }

        Net started(int sockets, long idleMs) throws Exception {
            gateway = starting(sockets, idleMs).get(PATIENCE_S, TimeUnit.SECONDS);
            return this;
        }

        private CompletableFuture<Gateway> starting(int sockets, long idleMs) throws IOException {
            Path file = Files.createTempFile("gateway", ".json");
            String told = configuration(registry, sockets, idleMs).replace("127.0.0.1:0", "127.0.0.1:" + listen);
            ConfigurationFile read = ConfigurationFile.read(Files.writeString(file, settings.apply(told)));
            Files.delete(file);
            PrintStream log = new PrintStream(lines, true) {
                @Override
                public void println(String line) {
                    super.println(line);
                    pauseAt(line);
                }
            };
            return Gateway.builder(vertx, new Log(log, clock), read)
                    .clock(clock)
                    .start()
                    .toCompletionStage()
                    .toCompletableFuture();
        }

        /** An action that may throw. */
        interface ThrowingRunnable {
            void run() throws Exception;
        }

        /** Pauses the gateway's event loop while it reads what a client wrote; {@link #goOn} ends that. */
        void pauseWhileReading() throws Exception {
            Client bad = client();
            pauseWhileReading(() -> bad.ask(request("no such type")));
        }

        /** The same; what is done has a client write something whose error is logged. */
        void pauseWhileReading(ThrowingRunnable writes) throws Exception {
            paused = new CountDownLatch(1);
            goesOn = new CountDownLatch(1);
            pausesAt = "bad input from a client"; // the log is written in the middle of reading
            writes.run();
            assertThat(paused.await(PATIENCE_S, TimeUnit.SECONDS)).as(this::log).isTrue();
        }

        /**
         * Pauses the event loop behind its reading, with timers due that it runs next; {@link #goOn} ends that.
         *
         * @param first is done right before those timers
         */
        void pauseBeforeTimers(Runnable first) throws Exception {
            pauseWhileReading();
            CountDownLatch reads = goesOn;
            CountDownLatch pausedAgain = new CountDownLatch(1);
            CountDownLatch goesOnAgain = new CountDownLatch(1);
            gateway.runOnLoop(() -> {
                pausedAgain.countDown();
                await(goesOnAgain);
            });
            first.run();
            Thread.sleep(50); // by now the timers that look for idle connections are due
            goesOn = goesOnAgain;
            reads.countDown();
            assertThat(pausedAgain.await(PATIENCE_S, TimeUnit.SECONDS))
                    .as(this::log)
                    .isTrue();
        }

        /** Pauses whoever logs a line with this, once; {@link #goOn} ends that. */
        CountDownLatch pauseAtLog(String part) {
            paused = new CountDownLatch(1);
            goesOn = new CountDownLatch(1);
            pausesAt = part;
            return paused;
        }

        void goOn() {
            goesOn.countDown();
        }

        private void pauseAt(String line) {
            if (pausesAt != null && line.contains(pausesAt)) {
                pausesAt = null;
                paused.countDown();
                await(goesOn);
            }
        }

        private static void await(CountDownLatch latch) {
            try {
                latch.await(PATIENCE_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Has the gateway read its configuration again, with so many descriptors. */
        void renew(int sockets) {
            try {
                Path file = Files.createTempFile("gateway", ".json");
                Files.writeString(file, settings.apply(configuration(registry, sockets, 30_000)));
                gateway.reloadConfiguration(file);
                Files.delete(file);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        /** A client whose greeting, with this right behind it, is answered before the gateway is ready. */
        Client early(String text) throws Exception {
            try (ServerSocket free = new ServerSocket(0)) {
                listen = free.getLocalPort();
            }
            CompletableFuture<Gateway> ready = starting(256, 30_000);
            for (Client c = null; true; Thread.onSpinWait()) {
                try {
                    c = new Client(listen);
                } catch (java.net.ConnectException e) {
                    assertThat(ready).as(this::log).isNotDone();
                    continue;
                }
                open.add(c);
                c.write(MessageWriter.startup().appendBuffer(MessageWriter.query(text)));
                assertThat(c.answer()).isEqualTo("ready");
                assertThat(ready).as(this::log).isNotDone();
                ready.thenAccept(g -> gateway = g);
                return c;
            }
        }

        /** Waits until the log has a line with this. */
        void logged(String part) {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
            while (!lines.toString().contains(part)) {
                assertThat(System.nanoTime())
                        .as("the log has \"%s\":\n%s", part, lines)
                        .isLessThan(end);
                Thread.onSpinWait();
            }
        }

        /** What the log says, for a story that goes wrong. */
        String log() {
            return lines.toString();
        }

        /** The text of a query; each call another op. */
        String request(String type) {
            return request(type, 15_000);
        }

        String request(String type, long waitMs) {
            String comment =
                    " /* id=" + Integer.toHexString(++names) + ",c=" + type + ",t=north,d=" + waitMs + ",cluster=1 */";
            return (type.equals("order")
                            ? "INSERT INTO state (uid, val) VALUES ('k', '\\x01') RETURNING val"
                            : "SELECT val FROM state WHERE uid = 'k'")
                    + comment;
        }

        /** Reads as clients do, which come back when told that it does no harm, for instance before any probe is in. */
        String read(Client c) throws IOException {
            String answer = "53300";
            for (int i = 0; i < 100 && answer.startsWith("53300"); i++) {
                answer = c.ask(request("page")).answer();
            }
            return answer;
        }

        /** From now on every server answers reads by itself, whichever the module picks. */
        Net readable() {
            servers.values().forEach(s -> s.reads = true);
            return this;
        }

        Client client() throws IOException {
            Client c = new Client(gateway.port());
            open.add(c);
            return c.greeted();
        }

        @Override
        public void close() throws Exception {
            for (AutoCloseable o : open) {
                o.close();
            }
            vertx.close().toCompletionStage().toCompletableFuture().get(PATIENCE_S, TimeUnit.SECONDS);
            for (Server s : servers.values()) {
                s.close();
            }
            registry.close();
        }
    }

    /** Listens at a free port and hands each connection to a thread of its own. */
    abstract static class Stand implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

        Stand() throws IOException {
            Thread t = new Thread(() -> {
                while (!listener.isClosed()) {
                    try {
                        Socket s = listener.accept();
                        sockets.add(s);
                        Thread own = new Thread(() -> {
                            try {
                                serve(s);
                            } catch (IOException e) {
                                ended(s);
                            }
                        });
                        own.setDaemon(true);
                        own.start();
                    } catch (IOException e) {
                        return;
                    }
                }
            });
            t.setDaemon(true);
            t.start();
        }

        abstract void serve(Socket s) throws IOException;

        void ended(Socket s) {}

        int port() {
            return listener.getLocalPort();
        }

        /** Closes the connections that there are; new ones may come. */
        void closeConnections() throws IOException {
            endConnections(false);
        }

        /** Ends every connection accepted so far, by a reset or in order. */
        void endConnections(boolean reset) throws IOException {
            for (Socket s : List.copyOf(sockets)) {
                if (reset && !s.isClosed()) {
                    s.setSoLinger(true, 0);
                }
                s.close();
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            closeConnections();
        }
    }

    /** A database server: answers probes by itself, and hands each op's query to the story. */
    static final class Server extends Stand {
        final BlockingQueue<Got> got = new LinkedBlockingQueue<>();
        final BlockingQueue<String> connects = new LinkedBlockingQueue<>();
        final BlockingQueue<String> ran = new LinkedBlockingQueue<>(); // every op's query that came whole
        final AtomicInteger open = new AtomicInteger(); // connections on which a greeting has come
        private final boolean primary;
        volatile boolean mute; // takes connections, says nothing
        volatile boolean shut; // takes connections, closes them at once
        volatile boolean reads; // answers reads by itself
        volatile boolean writes; // and writes
        volatile byte[] value = {7}; // with this
        volatile CountDownLatch holdsProbes = new CountDownLatch(0); // their answers wait for it
        volatile CountDownLatch holdsGreetings = new CountDownLatch(0); // connections come up once it is down
        volatile int probed;
        volatile long forgetsMs; // resets a connection that was idle for so long, at its next query
        volatile int forgotten;
        volatile boolean dropsSilently; // where it forgets a connection, says nothing on it instead of a reset
        volatile String vitals; // a report that is none of its own

        Server(boolean primary) throws IOException {
            this.primary = primary;
        }

        @Override
        void serve(Socket s) throws IOException {
            connects.add("one");
            if (shut) {
                s.close();
                return;
            }
            DataInputStream in = new DataInputStream(s.getInputStream());
            in.readFully(new byte[in.readInt() - 4]);
            CountDownLatch ended = new CountDownLatch(1);
            open.incrementAndGet();
            try {
                awaits(holdsGreetings);
                if (!mute) {
                    write(s, Buffer.buffer().appendByte((byte) 'R').appendInt(8).appendInt(0), true);
                }
                for (long last = System.nanoTime(); true; last = System.nanoTime()) {
                    in.readByte();
                    if (forgetsMs > 0 && System.nanoTime() - last > TimeUnit.MILLISECONDS.toNanos(forgetsMs)) {
                        forgotten++;
                        if (dropsSilently) {
                            in.transferTo(java.io.OutputStream.nullOutputStream());
                            return;
                        }
                        s.setSoLinger(true, 0);
                        s.close();
                        return;
                    }
                    byte[] body = new byte[in.readInt() - 4];
                    in.readFully(body);
                    Got g = new Got(this, s, new String(body, 0, Math.max(0, body.length - 1), UTF_8), ended);
                    if (!g.text.startsWith("SHOW")) {
                        ran.add(g.text);
                    }
                    if (mute) {
                        continue;
                    }
                    if (g.text.startsWith("SHOW")) {
                        probed++;
                        awaits(holdsProbes);
                        g.row(report().getBytes(UTF_8));
                    } else if (g.text.startsWith("SELECT") ? reads : writes) {
                        g.row(value);
                    } else {
                        got.add(g);
                    }
                }
            } finally {
                ended.countDown();
                open.decrementAndGet();
            }
        }

        private static void awaits(CountDownLatch latch) throws IOException {
            try {
                latch.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        private String report() {
            return vitals != null
                    ? vitals
                    : "x0=" + System.currentTimeMillis() / 1000 + ",x1=" + (primary ? 1 : 0) + ",busy=0.1";
        }

        /** The next query of an op. */
        Got next() throws InterruptedException {
            Got g = got.poll(Net.PATIENCE_S, TimeUnit.SECONDS);
            assertThat(g).as("a query comes").isNotNull();
            return g;
        }

        static void write(Socket s, Buffer b, boolean ready) throws IOException {
            if (ready) {
                b.appendByte((byte) 'Z').appendInt(5).appendByte((byte) 'I');
            }
            s.getOutputStream().write(b.getBytes());
        }
    }

    /** A query that a database server got. */
    record Got(Server at, Socket socket, String text, CountDownLatch ended) {
        void row(byte[] value) throws IOException {
            row(value, Buffer.buffer());
        }

        /** An answer with more right behind it. */
        void row(byte[] value, Buffer behind) throws IOException {
            Server.write(socket, answer(value).appendBuffer(behind), false);
        }

        Buffer answer(byte[] value) {
            Buffer b = Buffer.buffer();
            MessageWriter.parameterStatus(b, "rank", at.primary ? "source" : "copy");
            if (at.vitals == null) {
                MessageWriter.parameterStatus(b, "as_of", Long.toString(System.currentTimeMillis()));
            }
            MessageWriter.parameterStatus(b, "vitals", at.report());
            return b.appendBuffer(MessageWriter.resultRow(new ResultRow(
                    new ServerMessage.RowDescription("val", 0, (short) 0, 17, (short) -1, -1, (short) 1),
                    value,
                    "SELECT 1")));
        }

        void problem(String code) throws IOException {
            Server.write(socket, MessageWriter.errorResponse(code, "no", null, false, true), false);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Waits until the gateway has ended the connection. */
        void endedByGateway() throws InterruptedException {
            assertThat(ended.await(Net.PATIENCE_S, TimeUnit.SECONDS))
                    .as("the connection ends")
                    .isTrue();
        }
    }

    /** Discovery: the whole list, and each watch answered when the story says what changed. */
    static final class Registry extends Stand {
        final BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        final BlockingQueue<String> news = new LinkedBlockingQueue<>();
        volatile String whole;
        volatile boolean mute; // takes calls, answers none
        volatile String changes; // answers each watch at once where it is there

        Registry(String whole) throws IOException {
            this.whole = whole;
        }

        @Override
        void serve(Socket s) throws IOException {
            BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), UTF_8));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (!line.startsWith("GET ")) {
                    continue;
                }
                String uri = line.split(" ")[1];
                asked.add(uri);
                if (mute) {
                    continue;
                }
                String body;
                try {
                    body = !uri.contains("?")
                            ? whole
                            : changes != null && uri.contains("from=1&") ? changes : news.take();
                } catch (InterruptedException e) {
                    return;
                }
                String status = body.startsWith("status ") ? body.substring(7) : "200 OK";
                byte[] bytes = body.getBytes(UTF_8);
                s.getOutputStream()
                        .write(("HTTP/1.1 " + status + "\r\nContent-Length: " + bytes.length + "\r\n\r\n")
                                .getBytes(UTF_8));
                s.getOutputStream().write(bytes);
            }
        }

        /** Waits for a call, and skips those before it. */
        void asked(String uri) throws InterruptedException {
            for (String a = ""; !a.equals(uri); ) {
                a = asked.poll(Net.PATIENCE_S, TimeUnit.SECONDS);
                assertThat(a).as("discovery is asked for %s", uri).isNotNull();
            }
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        private final Socket socket;
        private final DataInputStream in;

        Client(int port) throws IOException {
            this(port, 0);
        }

        /** One whose system takes no more than about so many bytes that it has not read, unless 0. */
        Client(int port, int receiveBuffer) throws IOException {
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(Net.PATIENCE_S));
            in = new DataInputStream(socket.getInputStream());
        }

        Client greeted() throws IOException {
            write(MessageWriter.startup());
            assertThat(answer()).isEqualTo("ready");
            return this;
        }

        Client write(Buffer b) throws IOException {
            socket.getOutputStream().write(b.getBytes());
            return this;
        }

        Client ask(String text) throws IOException {
            return write(MessageWriter.query(text));
        }

        /** Reads to the end: "end" where it is one in order, "reset" else. */
        String howItEnds() throws IOException {
            try {
                while (in.read() >= 0) {
                    Thread.onSpinWait();
                }
                return "end";
            } catch (SocketException e) {
                return "reset";
            }
        }

        /** Whether anything has come that was not read yet. */
        boolean hasAnswer() throws IOException {
            return in.available() > 0;
        }

        int readByte() throws IOException {
            return in.read();
        }

        /** What came up to the next ReadyForQuery or the end: the value in hex, the code with its time, or a word. */
        String answer() throws IOException {
            StringBuilder all = new StringBuilder();
            try {
                for (int type = in.read(); type != 'Z'; type = in.read()) {
                    if (type < 0) {
                        return all + "closed";
                    }
                    byte[] body = new byte[in.readInt() - 4];
                    in.readFully(body);
                    String text = new String(body, UTF_8);
                    if (type == 'D') {
                        all.append("row ")
                                .append(HexFormat.of().formatHex(body, 6, body.length))
                                .append(' ');
                    } else if (type == 'I') {
                        all.append("empty ");
                    } else if (type == 'E') {
                        int d = text.indexOf("\0D");
                        all.append(text, text.indexOf("\0C") + 2, text.indexOf("\0C") + 7)
                                .append(' ')
                                .append(d < 0 ? "" : "after " + text.substring(d + 2, text.indexOf(0, d + 1)) + " ");
                    }
                }
                in.readFully(new byte[5]);
            } catch (SocketException e) {
                return all + "closed";
            }
            return all.append("ready").toString();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
