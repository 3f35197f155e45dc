import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One database server of a group: the primary, or a replica whose log position follows the primary's with a lag. */
final class Database {
    /** The log of a group: what was committed, when, and under which id. */
    static final class Log {
        record Commit(String id, String key, String value, long at) {}

        private final List<Commit> commits = new ArrayList<>();
        private final Map<String, Commit> byId = new ConcurrentHashMap<>();

        synchronized Commit commit(String id, String key, String value) {
            // as_of of a write is its commit time, rounded up
            Commit commit = new Commit(id, key, value, (long) Math.ceil(Clock.now()));
            commits.add(commit);
            byId.put(id, commit);
            return commit;
        }

        Commit of(String id) {
            return byId.get(id);
        }

        /** Returns the newest value of a key among the commits up to a position. */
        synchronized String value(String key, double position) {
            String value = "none";
            for (Commit commit : commits) {
                if (commit.key().equals(key) && commit.at() <= position) {
                    value = commit.value();
                }
            }
            return value;
        }

        /** Returns the time of the newest commit of a key before this time; 0 if there is none. */
        synchronized long newestBefore(String key, double time) {
            long at = 0;
            for (Commit commit : commits) {
                at = commit.key().equals(key) && commit.at() < time ? Math.max(at, commit.at()) : at;
            }
            return at;
        }
    }

    /** One statement that has arrived whole. */
    static final class Statement {
        final Socket connection;
        final String text;
        final String id;
        final String type;
        final String key;
        final boolean write;
        final double arrivedAt = Clock.now();

        Statement(Socket connection, String text) {
            this.connection = connection;
            this.text = text;
            id = field(text, "id");
            type = field(text, "c");
            write = text.startsWith("INSERT");
            Matcher quoted = Pattern.compile("'([^']*)'").matcher(text);
            String whole = quoted.find() ? quoted.group(1) : "";
            key = whole.length() <= 40 ? whole : whole.substring(0, 40); // long keys differ within these, too
        }

        String value() {
            Matcher hex = Pattern.compile("\\\\x([0-9a-f]*)").matcher(text);
            if (!hex.find()) {
                return "";
            }
            byte[] bytes = new byte[hex.group(1).length() / 2];
            for (int i = 0; i < bytes.length; i++) {
                bytes[i] = (byte) Integer.parseInt(hex.group(1).substring(2 * i, 2 * i + 2), 16);
            }
            return new String(bytes, StandardCharsets.UTF_8);
        }
    }

    /** What happens to a statement on its way. */
    interface Behaviour {
        /** Returns how long the statement works, in milliseconds. */
        double work(Statement statement);

        /** Returns whether the answer goes out; a case may lose it, and end the connection itself. */
        default boolean answers(Statement statement) {
            return true;
        }

        /** Returns how many milliseconds late a new connection comes up. */
        default double connectionLateBy() {
            return 0;
        }

        /** Called when an answer has been written that tells the gateway that this server is no primary. */
        default void toldAsCopy() {}

        /** Called when a read has been answered from data up to this position. */
        default void readAnswered(Statement statement, double position, double lagAtArrival) {}
    }

    private static final long REPORT_PERIOD_MS = 100;

    final String name;
    private final Record record;
    private final Log log;
    private final Behaviour behaviour;
    private final ServerSocket listener;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task, "database");
        thread.setDaemon(true);
        return thread;
    });
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean dropsRepeats = true;
    private volatile boolean primary;
    private volatile Function<Double, Double> lag = now -> 15.0;
    private volatile String vitals = "";
    private double highestPosition;

    Database(String name, Record record, Log log, boolean primary, Behaviour behaviour) throws IOException {
        this.name = name;
        this.record = record;
        this.log = log;
        this.primary = primary;
        this.behaviour = behaviour;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        refreshVitals();
        scheduler.scheduleAtFixedRate(this::refreshVitals, REPORT_PERIOD_MS, REPORT_PERIOD_MS, TimeUnit.MILLISECONDS);
        thread(this::acceptAll);
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task, "database");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    boolean isPrimary() {
        return primary;
    }

    void setPrimary(boolean isPrimary) {
        primary = isPrimary;
        refreshVitals();
    }

    /** Sets how far the replica's position is behind the present, in milliseconds, as a function of the time. */
    void setLag(Function<Double, Double> lagAt) {
        lag = lagAt;
    }

    /** Has each write that arrives run, as servers do with writes that carry no mark. */
    void runRepeats() {
        dropsRepeats = false;
    }

    /** Returns up to when all commits are applied here; it never goes back. */
    synchronized double position() {
        double now = Clock.now();
        highestPosition = Math.max(highestPosition, primary ? now : now - lag.apply(now));
        return highestPosition;
    }

    private void refreshVitals() {
        vitals = String.format("x0=%.4f,x1=%d,util=0.20", Math.floor(position()) / 1000, primary ? 1 : 0);
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                thread(() -> serve(connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            DataInputStream in = new DataInputStream(new BufferedInputStream(connection.getInputStream(), 1 << 16));
            Wire.readStartup(in);
            Clock.sleep(behaviour.connectionLateBy());
            send(connection, new Wire().authenticationOk().ready());
            while (true) {
                Wire.Message message = Wire.read(in);
                if (message.type() == 'X') {
                    return;
                }
                onQuery(connection, new String(message.body(), 0, message.body().length - 1, StandardCharsets.UTF_8));
            }
        } catch (IOException closed) {
            connections.remove(connection);
        }
    }

    private void onQuery(Socket connection, String text) throws IOException {
        if (text.equals("SHOW vitals")) {
            record.line(name + " got SHOW vitals");
            send(connection, new Wire().row(vitals.getBytes(StandardCharsets.UTF_8), "SHOW").ready());
        } else if (text.equals("SELECT 1")) {
            send(connection, new Wire().row("1".getBytes(StandardCharsets.UTF_8), "SELECT 1").ready());
        } else if (text.isBlank()) {
            send(connection, new Wire().emptyQueryResponse().ready());
        } else {
            Statement statement = new Statement(connection, text);
            record.line(name + " got " + (statement.write ? "write " : "read ") + statement.id + " of " + statement.key);
            double lagAtArrival = statement.arrivedAt - position();
            double work = behaviour.work(statement);
            scheduler.schedule(() -> finish(statement, lagAtArrival), (long) (work * 1000), TimeUnit.MICROSECONDS);
        }
    }

    private void finish(Statement statement, double lagAtArrival) {
        try {
            Wire answer = new Wire();
            String words;
            boolean wasPrimary = primary;
            if (statement.write && !primary) {
                answer.parameter("rank", "copy").parameter("as_of", Long.toString((long) Math.floor(position())));
                report(answer).error("25006", "this is no primary").ready();
                words = "25006";
            } else if (statement.write) {
                Log.Commit earlier = dropsRepeats ? log.of(statement.id) : null;
                // the mark is known: the repeat is dropped and gets the answer of the write that ran
                Log.Commit commit =
                        earlier != null ? earlier : log.commit(statement.id, statement.key, statement.value());
                answer.parameter("rank", "source").parameter("as_of", Long.toString(commit.at()));
                report(answer);
                answer.row(commit.value().getBytes(StandardCharsets.UTF_8), "INSERT 0 1").ready();
                words = (earlier != null ? "dropped as a repeat of the commit at " : "committed at ") + commit.at();
            } else {
                double position = position();
                String value = log.value(statement.key, position);
                answer.parameter("rank", wasPrimary ? "source" : "copy");
                answer.parameter("as_of", Long.toString((long) Math.floor(position)));
                report(answer);
                answer.row(value.getBytes(StandardCharsets.UTF_8), "SELECT 1").ready();
                behaviour.readAnswered(statement, position, lagAtArrival);
                words = "'" + value + "', data " + Math.round(lagAtArrival) + " ms old when the read arrived";
            }
            boolean answers = behaviour.answers(statement);
            record.line(name + " " + statement.id + ": " + words + (answers ? "" : ", the answer is lost"));
            if (answers) {
                send(statement.connection, answer);
                if (!wasPrimary) {
                    behaviour.toldAsCopy();
                }
            }
        } catch (IOException gone) {
            record.line(name + " " + statement.id + ": the connection is gone");
        }
    }

    private Wire report(Wire answer) {
        return answer.parameter("vitals", vitals);
    }

    /** Resets a connection. */
    static void reset(Socket connection) {
        try {
            connection.setSoLinger(true, 0);
            connection.close();
        } catch (IOException closed) {
            return;
        }
    }

    ScheduledExecutorService scheduler() {
        return scheduler;
    }

    private static void send(Socket connection, Wire answer) throws IOException {
        synchronized (connection) {
            connection.getOutputStream().write(answer.bytes());
            connection.getOutputStream().flush();
        }
    }

    private static String field(String text, String name) {
        Matcher matcher = Pattern.compile("[ ,*]" + name + "=([^, *]*)").matcher(text);
        return matcher.find() ? matcher.group(1) : "";
    }
}
