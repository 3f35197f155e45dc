package ploverdale;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery that answers each call at once with a list of a new revision, also a watch that should be held. */
final class EagerDiscovery extends LoopbackServer {
    /** Stands for the revision of each answer in {@link #list}. */
    static final int REVISION = 987_654_321;

    /** Number of calls answered. */
    final AtomicInteger answers = new AtomicInteger();

    volatile String list;
    private final AtomicInteger revision = new AtomicInteger(1);

    /** @param list has {@link #REVISION} as its revision */
    EagerDiscovery(String list) throws IOException {
        this.list = list;
    }

    @Override
    void serve(Socket socket) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("GET ")) {
                String body = list.replace(Integer.toString(REVISION), Integer.toString(revision.incrementAndGet()));
                String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
                answers.incrementAndGet();
                socket.getOutputStream().write(answer.getBytes(UTF_8)); // one write, since a second may be delayed
            }
        }
    }
}
