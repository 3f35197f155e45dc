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
 * The program's log: one line per event, which begins with the time. Frequent events are logged under a kind; of each
 * kind at most one line per second is written, with the number of lines suppressed since. Logging never fails, and it
 * blocks only while the stream does. Safe for use by several threads.
 */
public final class Log {
    private static final long RATE_LIMIT_INTERVAL_MS = 1000;
    private static final int MAX_KINDS = 200; // bounds the memory; far more than the program uses

    private final PrintStream stream;
    private final Clock clock;
    /** By kind: when its last line was written, in monotonic milliseconds, and how many lines were suppressed since. */
    private final Map<String, long[]> kinds = new HashMap<>();

    public Log(PrintStream stream) {
        this(stream, Clock.system());
    }

    public Log(PrintStream stream, Clock clock) {
        this.stream = stream;
        this.clock = clock;
    }

    /** Writes one line; control characters in the text are replaced. */
    public synchronized void line(String text) {
        stream.println(Instant.ofEpochMilli(clock.wallMs()) + " " + oneLine(text));
    }

    /** Writes one line, unless a line of the same kind was written within the last second; then only counts it. */
    public synchronized void rateLimited(String kind, String text) {
        long now = clock.monotonicMs();
        if (!kinds.containsKey(kind) && kinds.size() >= MAX_KINDS) {
            kinds.clear();
        }
        long[] lastAndSuppressed = kinds.computeIfAbsent(kind, x -> new long[] {now - RATE_LIMIT_INTERVAL_MS, 0});
        if (now - lastAndSuppressed[0] < RATE_LIMIT_INTERVAL_MS) {
            lastAndSuppressed[1]++;
            return;
        }
        line(kind + ": " + text + (lastAndSuppressed[1] > 0 ? " (" + lastAndSuppressed[1] + " more left out)" : ""));
        lastAndSuppressed[0] = now;
        lastAndSuppressed[1] = 0;
    }

    /**
     * Logs an unexpected exception, which indicates a bug in this program, with the top of its stack trace.
     * Rate-limited by kind.
     */
    public void fault(String kind, Throwable exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        StringBuilder text = new StringBuilder(exception.toString());
        for (int i = 0; i < Math.min(4, trace.length); i++) {
            text.append(" at ").append(trace[i]);
        }
        rateLimited(kind, text.toString());
    }

    /**
     * Redirects to this log what libraries log through java.util.logging at level WARNING and above, and removes the
     * default handler. That one opens files to format a date; when file descriptors run out, it throws on the thread
     * that logs.
     */
    public void captureLibraryLogs() {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new Handler() {
            @Override
            public void publish(LogRecord entry) {
                Throwable rootCause = entry.getThrown();
                while (rootCause != null && rootCause.getCause() != null) {
                    rootCause = rootCause.getCause();
                }
                rateLimited(
                        "library " + entry.getLoggerName(),
                        entry.getMessage() + (rootCause == null ? "" : ": " + rootCause));
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
