package ploverdale.log;

import java.io.PrintStream;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import ploverdale.clock.Clock;

/**
 * The program's log: one line an event on standard error, time first. What may come often is told under a kind,
 * of which one line a second is written, with the number left out since. Never fails and never blocks on more
 * than the stream itself.
 */
public final class Log {
    private static final long EVERY_MS = 1000;
    private static final int KINDS_MOST = 200; // kinds are few; the rest is a guard

    private final PrintStream to;
    private final Clock clock;
    private final Map<String, long[]> kinds = new HashMap<>(); // kind: last written, left out since

    public Log(PrintStream to) {
        this(to, Clock.system());
    }

    public Log(PrintStream to, Clock clock) {
        this.to = to;
        this.clock = clock;
    }

    /** Writes a line. */
    public synchronized void line(String text) {
        to.println(Instant.ofEpochMilli(clock.wallMs()) + " " + oneLine(text));
    }

    /** Writes a line, at most one a second of this kind. */
    public synchronized void often(String kind, String text) {
        long now = clock.monotonicMs();
        if (!kinds.containsKey(kind) && kinds.size() >= KINDS_MOST) {
            kinds.clear();
        }
        long[] k = kinds.computeIfAbsent(kind, x -> new long[] {now - EVERY_MS, 0});
        if (now - k[0] < EVERY_MS) {
            k[1]++;
            return;
        }
        line(kind + ": " + text + (k[1] > 0 ? " (" + k[1] + " more left out)" : ""));
        k[0] = now;
        k[1] = 0;
    }

    /** Writes a fault of the program itself, with where it came from. */
    public void fault(String kind, Throwable e) {
        StackTraceElement[] trace = e.getStackTrace();
        StringBuilder text = new StringBuilder(e.toString());
        for (int i = 0; i < Math.min(4, trace.length); i++) {
            text.append(" at ").append(trace[i]);
        }
        often(kind, text.toString());
    }

    /**
     * Takes over what libraries log through the JDK, from warnings up. Guards against their own handler, which opens files
     * to write a date and so fails, with the thread that logs, when descriptors run out.
     */
    public void takeOver() {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new Handler() {
            @Override
            public void publish(LogRecord r) {
                Throwable e = r.getThrown();
                while (e != null && e.getCause() != null) {
                    e = e.getCause();
                }
                often("library " + r.getLoggerName(), r.getMessage() + (e == null ? "" : ": " + e));
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        });
    }

    private static String oneLine(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }
}
