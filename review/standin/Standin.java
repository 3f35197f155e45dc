package standin;

import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * The stand-ins that the cases share: database servers and a discovery agent as PROTOCOL.md describes them, a client,
 * the gateway as a process of its own, and the record. All addresses are loopback addresses; all clocks are real.
 */
final class Standin {
    private Standin() {}

    static final String HOST = "127.0.0.1";

    // -- The record

    /** Appends to a record.txt, one line an event, with milliseconds since the start. A killed run leaves it too. */
    static final class Record implements Closeable {
        private final PrintWriter out;
        private final long startNanos = System.nanoTime();

        Record(Path file) throws IOException {
            out = new PrintWriter(
                    Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND), false);
            daemon("record", () -> {
                while (true) {
                    Thread.sleep(200);
                    flush();
                }
            });
        }

        private synchronized void flush() {
            out.flush();
        }

        synchronized void line(String text) {
            out.printf("%9.1f %s%n", (System.nanoTime() - startNanos) / 1e6, text);
        }

        synchronized void raw(String text) {
            out.println(text);
        }

        /** Writes a line to the record and to standard output. */
        void tell(String text) {
            line(text);
            flush();
            System.out.println(text);
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    // -- PostgreSQL messages

    record Message(char type, byte[] body) {
        /** Returns the field of an ErrorResponse, or an empty text. */
        String errorField(char field) {
            int at = 0;
            while (at < body.length && body[at] != 0) {
                int end = at + 1;
                while (end < body.length && body[end] != 0) {
                    end++;
                }
                if (body[at] == field) {
                    return new String(body, at + 1, end - at - 1, StandardCharsets.UTF_8);
                }
                at = end + 1;
            }
            return "";
        }
    }

    static Message readMessage(DataInputStream in) throws IOException {
        int type = in.read();
        if (type < 0) {
            return null;
        }
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        return new Message((char) type, body);
    }

    static void message(DataOutputStream out, char type, byte[] body) throws IOException {
        out.writeByte(type);
        out.writeInt(body.length + 4);
        out.write(body);
    }

    static byte[] strings(String... texts) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (String text : texts) {
            bytes.writeBytes(text.getBytes(StandardCharsets.UTF_8));
            bytes.write(0);
        }
        return bytes.toByteArray();
    }

    static byte[] startup() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(body);
        byte[] texts = strings("user", "client", "database", "core");
        out.writeInt(texts.length + 9);
        out.writeInt(3 << 16);
        out.write(texts);
        out.writeByte(0);
        return body.toByteArray();
    }

    static byte[] query(String text) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        message(new DataOutputStream(body), 'Q', strings(text));
        return body.toByteArray();
    }

    // -- Queries

    /** A query in the form of PROTOCOL.md. */
    record Query(String text, boolean write, String key, Map<String, String> fields) {
        static Query parse(String text) {
            Map<String, String> fields = new HashMap<>();
            int open = text.indexOf("/*");
            int close = text.indexOf("*/");
            if (open >= 0 && close > open) {
                for (String field : text.substring(open + 2, close).split(",")) {
                    int equals = field.indexOf('=');
                    if (equals > 0) {
                        fields.put(field.substring(0, equals).trim(), field.substring(equals + 1).trim());
                    }
                }
            }
            int quote = text.indexOf('\'');
            String key = quote < 0 ? "" : text.substring(quote + 1, text.indexOf('\'', quote + 1));
            return new Query(text, text.startsWith("INSERT"), key, fields);
        }

        String id() {
            return fields.getOrDefault("id", "");
        }

        String type() {
            return fields.getOrDefault("c", "");
        }
    }

    static String read(String key, String id, String type, long waitMs, int group) {
        return "SELECT val FROM state WHERE uid = '" + key + "' /* id=" + id + ",c=" + type + ",t=acme,d=" + waitMs
                + ",cluster=" + group + " */";
    }

    static String write(String key, String hexValue, String id, String type, long waitMs, int group) {
        return "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x" + hexValue + "') RETURNING val /* id=" + id
                + ",c=" + type + ",t=acme,d=" + waitMs + ",cluster=" + group + " */";
    }

    // -- Database servers

    /** What a server does with a query; runs on the thread of the connection. */
    interface Handler {
        void onQuery(ServerConnection connection, Query query) throws IOException, InterruptedException;
    }

    /** How long the set-up of a new connection takes, in milliseconds. */
    interface ConnectDelay {
        long nextMs();
    }

    /** A database server: accepts connections, answers probes, and hands statements to its handler. */
    static final class Server implements Closeable {
        final String id;
        final int group;
        final ServerSocket listener;
        final Record record;
        final List<ServerConnection> connections = new CopyOnWriteArrayList<>();
        volatile boolean primary;
        volatile Handler handler;
        volatile ConnectDelay connectDelay = () -> 0;
        /** The position that the server has applied, as a Unix time in milliseconds. */
        volatile java.util.function.LongSupplier position = System::currentTimeMillis;
        volatile boolean closed;
        /** While it is set, nothing is answered, and no new connection comes up. */
        volatile boolean silent;

        Server(String id, int group, boolean primary, Record record) throws IOException {
            this.id = id;
            this.group = group;
            this.primary = primary;
            this.record = record;
            listener = new ServerSocket(0, 1024, InetAddress.getByName(HOST));
            daemon("server " + id, this::accept);
        }

        String address() {
            return HOST + ":" + listener.getLocalPort();
        }

        private void accept() throws IOException {
            while (!closed) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                ServerConnection connection = new ServerConnection(this, socket);
                connections.add(connection);
                daemon("connection to " + id, connection::serve);
            }
        }

        String vitals() {
            return String.format(
                    java.util.Locale.ROOT, "x0=%.3f,x1=%d", position.getAsLong() / 1000.0, primary ? 1 : 0);
        }

        @Override
        public void close() throws IOException {
            closed = true;
            listener.close();
            connections.forEach(ServerConnection::reset);
        }
    }

    /** One connection at a server. */
    static final class ServerConnection {
        final Server server;
        final Socket socket;
        private final DataInputStream in;
        private final DataOutputStream out;
        volatile long lastUsedMs = System.currentTimeMillis();
        volatile boolean busy = true;

        ServerConnection(Server server, Socket socket) throws IOException {
            this.server = server;
            this.socket = socket;
            in = new DataInputStream(socket.getInputStream());
            out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 1 << 17));
        }

        void serve() {
            try {
                byte[] greeting = new byte[in.readInt() - 4];
                in.readFully(greeting);
                Thread.sleep(server.connectDelay.nextMs());
                awaitVoice();
                message(out, 'R', new byte[4]);
                message(out, 'Z', new byte[] {'I'});
                out.flush();
                lastUsedMs = System.currentTimeMillis();
                busy = false;
                for (Message next = readMessage(in); next != null; next = readMessage(in)) {
                    if (next.type() != 'Q') {
                        break;
                    }
                    String text = new String(next.body(), 0, next.body().length - 1, StandardCharsets.UTF_8);
                    busy = true;
                    onQuery(text);
                    lastUsedMs = System.currentTimeMillis();
                    busy = false;
                }
            } catch (IOException | InterruptedException ended) {
                // the other side is gone, or the case ended the connection
            } finally {
                server.connections.remove(this);
                close();
            }
        }

        private void awaitVoice() throws InterruptedException, IOException {
            while (server.silent) {
                Thread.sleep(20);
                if (server.closed) {
                    throw new IOException("closed");
                }
            }
        }

        private void onQuery(String text) throws IOException, InterruptedException {
            awaitVoice();
            String trimmed = text.trim();
            if (trimmed.isEmpty()) {
                message(out, 'I', new byte[0]);
                ready();
            } else if (trimmed.equals("SELECT 1")) {
                row("1".getBytes(StandardCharsets.UTF_8), "SELECT 1", -1);
            } else if (trimmed.equals("SHOW vitals")) {
                row(server.vitals().getBytes(StandardCharsets.UTF_8), "SHOW", -1);
            } else {
                server.handler.onQuery(this, Query.parse(text));
            }
        }

        /** Answers with a row; tells role and position unless the position is negative. */
        void row(byte[] value, String tag, long positionMs) throws IOException {
            ByteArrayOutputStream description = new ByteArrayOutputStream();
            DataOutputStream fields = new DataOutputStream(description);
            fields.writeShort(1);
            fields.write(strings("val"));
            fields.writeInt(0);
            fields.writeShort(0);
            fields.writeInt(17);
            fields.writeShort(-1);
            fields.writeInt(-1);
            fields.writeShort(1);
            message(out, 'T', description.toByteArray());
            ByteArrayOutputStream data = new ByteArrayOutputStream();
            DataOutputStream columns = new DataOutputStream(data);
            columns.writeShort(1);
            columns.writeInt(value.length);
            columns.write(value);
            message(out, 'D', data.toByteArray());
            message(out, 'C', strings(tag));
            tellPosition(positionMs);
            ready();
        }

        void error(String code, String text, long positionMs) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            body.writeBytes(strings("SERROR", "VERROR", "C" + code, "M" + text));
            body.write(0);
            message(out, 'E', body.toByteArray());
            tellPosition(positionMs);
            ready();
        }

        private void tellPosition(long positionMs) throws IOException {
            if (positionMs >= 0) {
                message(out, 'S', strings("rank", server.primary ? "source" : "copy"));
                message(out, 'S', strings("as_of", Long.toString(positionMs)));
            }
        }

        private void ready() throws IOException {
            message(out, 'Z', new byte[] {'I'});
            out.flush();
        }

        /** Resets the connection. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException gone) {
                // closed already
            }
            close();
        }

        void close() {
            try {
                socket.close();
            } catch (IOException gone) {
                // closed already
            }
        }
    }

    // -- Discovery

    /** A discovery agent: the whole list, and watches that wait for a later revision. */
    static final class Agent implements Closeable {
        private final ServerSocket listener;
        private final Map<String, String> members = new LinkedHashMap<>();
        private final Map<String, Long> changedAt = new HashMap<>();
        private long revision = 1;

        Agent() throws IOException {
            listener = new ServerSocket(0, 256, InetAddress.getByName(HOST));
            daemon("discovery", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    daemon("discovery call", () -> serve(socket));
                }
            });
        }

        String address() {
            return HOST + ":" + listener.getLocalPort();
        }

        static String member(Server server, String phase, String rank, long upSinceMs) {
            return "{\"id\":\"" + server.id + "\",\"host_port\":\"" + server.address()
                    + "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":" + server.group + ",\"phase\":\"" + phase
                    + "\",\"rank\":\"" + rank + "\",\"size\":1.0,\"up_since_ms\":" + upSinceMs + "}";
        }

        synchronized void put(Server server, String phase, String rank, long upSinceMs) {
            revision++;
            members.put(server.id, member(server, phase, rank, upSinceMs));
            changedAt.put(server.id, revision);
            notifyAll();
        }

        synchronized String whole() {
            return "{\"revision\":" + revision + ",\"complete\":true,\"members\":["
                    + String.join(",", members.values()) + "]}";
        }

        private synchronized String changes(long from, long holdMs) throws InterruptedException {
            long until = System.currentTimeMillis() + holdMs;
            while (revision <= from && System.currentTimeMillis() < until) {
                wait(Math.max(1, until - System.currentTimeMillis()));
            }
            List<String> changed = new ArrayList<>();
            members.forEach((id, member) -> {
                if (changedAt.get(id) > from) {
                    changed.add(member);
                }
            });
            return "{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + String.join(",", changed) + "]}";
        }

        private void serve(Socket socket) throws IOException, InterruptedException {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            StringBuilder head = new StringBuilder();
            for (int next = in.read(); next >= 0; next = in.read()) {
                head.append((char) next);
                if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                    String target = head.toString().split(" ")[1];
                    head.setLength(0);
                    byte[] body = answer(target).getBytes(StandardCharsets.UTF_8);
                    out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    out.write(body);
                    out.flush();
                }
            }
            socket.close();
        }

        private String answer(String target) throws InterruptedException {
            int from = target.indexOf("from=");
            if (from < 0) {
                return whole();
            }
            long revisionFrom = Long.parseLong(target.substring(from + 5).split("&")[0]);
            int hold = target.indexOf("hold_ms=");
            return changes(revisionFrom, hold < 0 ? 0 : Long.parseLong(target.substring(hold + 8).split("&")[0]));
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    // -- The gateway

    /** A gateway, started by the `run` command of the deploy file. */
    static final class Gateway implements Closeable {
        final Process process;
        final Path log;
        final InetSocketAddress address;

        /** @param extra further arguments, each with a space before it; usually empty */
        Gateway(Path root, Path folder, String name, String configuration, int port, String discovery, String extra)
                throws IOException {
            Path file = folder.resolve(name + ".json");
            Files.writeString(file, configuration);
            log = folder.resolve(name + ".log");
            Path temporary = Files.createDirectories(folder.resolve(name + "-tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command(root, "run") + extra);
            builder.directory(root.toFile());
            builder.environment().put("EDGE_NAME", name);
            builder.environment().put("EDGE_LISTEN", HOST + ":" + port);
            builder.environment().put("EDGE_DISCOVERY", discovery);
            builder.environment().put("EDGE_CONFIG", file.toString());
            builder.environment().put("TMPDIR", temporary.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            address = new InetSocketAddress(HOST, port);
        }

        /** Waits until the gateway answers an empty query, as the front does. */
        boolean awaitReady(long limitMs) throws InterruptedException {
            long until = System.currentTimeMillis() + limitMs;
            while (System.currentTimeMillis() < until && process.isAlive()) {
                try (Client client = new Client(address)) {
                    client.send(query(""));
                    if (client.nextAnswer(2000).kind.equals("empty")) {
                        return true;
                    }
                } catch (IOException notYet) {
                    Thread.sleep(50);
                }
            }
            return false;
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        @Override
        public void close() {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns the text of a command in deploy/balancer.toml. */
    static String command(Path root, String name) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(name + " = \"")) {
                StringBuilder text = new StringBuilder();
                for (int i = name.length() + 4; line.charAt(i) != '"'; i++) {
                    if (line.charAt(i) == '\\') {
                        i++;
                    }
                    text.append(line.charAt(i));
                }
                return text.toString();
            }
        }
        throw new IOException("no command " + name);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    // -- Clients

    /** An answer of a gateway to one command: "row", "error", "empty" or "closed". */
    static final class Answer {
        final String kind;
        final byte[] value;
        final String code;
        final String text;

        Answer(String kind, byte[] value, String code, String text) {
            this.kind = kind;
            this.value = value;
            this.code = code;
            this.text = text;
        }

        @Override
        public String toString() {
            return kind + (code.isEmpty() ? "" : " " + code + " " + text);
        }
    }

    /** A client's connection to a gateway. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        private final DataInputStream in;
        private boolean greeted;

        Client(InetSocketAddress gateway) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(gateway, 2000);
            in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16));
            send(startup());
        }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Reads the answer to the next command. */
        Answer nextAnswer(long limitMs) throws IOException {
            socket.setSoTimeout((int) Math.max(1, limitMs));
            Answer answer = null;
            byte[] value = null;
            for (Message next = readMessage(in); next != null; next = readMessage(in)) {
                switch (next.type()) {
                    case 'D' -> value = java.util.Arrays.copyOfRange(next.body(), 6, next.body().length);
                    case 'C' -> answer = new Answer("row", value, "", "");
                    case 'I' -> answer = new Answer("empty", null, "", "");
                    case 'E' -> {
                        answer = new Answer("error", null, next.errorField('C'), next.errorField('M'));
                        if (next.errorField('S').equals("FATAL")) {
                            return answer;
                        }
                    }
                    case 'Z' -> {
                        if (greeted) {
                            return answer;
                        }
                        greeted = true;
                    }
                    default -> {}
                }
            }
            return new Answer("closed", null, "", "");
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException gone) {
                // closed already
            }
        }
    }

    // -- Threads, folders and the end

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception ended) {
                        // a stand-in ends with its socket
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** One case: returns whether the rule held. */
    interface Case {
        boolean holds(Run run) throws Exception;
    }

    /** What a case is given. */
    static final class Run {
        final Path root;
        final Path folder;
        final Record record;
        final boolean trouble;
        final List<Closeable> opened = new CopyOnWriteArrayList<>();

        Run(Path root, Path folder, Record record, boolean trouble) {
            this.root = root;
            this.folder = folder;
            this.record = record;
            this.trouble = trouble;
        }

        <T extends Closeable> T open(T closeable) {
            opened.add(closeable);
            return closeable;
        }

        Server server(String id, int group, boolean primary) throws IOException {
            return open(new Server(id, group, primary, record));
        }

        Gateway gateway(String name, String configuration, int port, String discovery) throws IOException {
            return open(new Gateway(root, folder, name, configuration, port, discovery, ""));
        }
    }

    /** Thrown where a case cannot run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    /** Runs a case from the root of the repository; exits with 1 if the rule was broken, 0 if it held, 2 otherwise. */
    static void main(String recordFile, Case test) throws Exception {
        Path root = Path.of("").toAbsolutePath();
        Path folder = Files.createTempDirectory("review");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Record record = new Record(Path.of(recordFile));
        Run run = new Run(root, folder, record, trouble);
        Thread watchdog = daemon("watchdog", () -> {
            Thread.sleep(112_000);
            record.tell("could not finish in time");
            end(run);
            Runtime.getRuntime().halt(2);
        });
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(run)));
        try {
            record.tell(trouble ? "with the disruption" : "without the disruption");
            boolean holds = test.holds(run);
            record.tell(holds ? "HELD" : "BROKEN");
            status = holds ? 0 : 1;
        } catch (CannotRun | IOException | RuntimeException why) {
            record.tell("could not run: " + why);
        }
        end(run);
        watchdog.interrupt();
        Runtime.getRuntime().halt(status);
    }

    private static void closeAll(Run run) {
        for (Closeable closeable : run.opened) {
            try {
                closeable.close();
            } catch (IOException gone) {
                // closed already
            }
        }
    }

    private static void end(Run run) {
        closeAll(run);
        for (Closeable closeable : run.opened) {
            if (closeable instanceof Gateway gateway) {
                try {
                    run.record.raw("-- log of the gateway " + gateway.log.getFileName());
                    Files.readAllLines(gateway.log).stream().limit(400).forEach(run.record::raw);
                } catch (IOException unreadable) {
                    run.record.raw("unreadable");
                }
            }
        }
        run.record.close();
        try (var files = Files.walk(run.folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException left) {
            // a temporary folder is left behind
        }
    }

    /** A set of texts for several threads. */
    static <K, V> Map<K, V> sharedMap() {
        return new ConcurrentHashMap<>();
    }
}
