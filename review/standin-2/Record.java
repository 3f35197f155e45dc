import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: one line for each thing that was sent, answered or run, with milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startedAt = System.currentTimeMillis();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", System.currentTimeMillis() - startedAt, text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }
}
