package ploverdale;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery with several kinds of outage. While it works, it answers each request at once, but holds a watch while there is
 * no update.
 */
final class FaultyDiscovery extends LoopbackServer {
    /** How discovery treats a request. */
    enum State {
        WORKS,
        SILENT,
        RESETS,
        CLOSES,
        FAILS,
        ANSWERS_HALF
    }

    /** Number of requests received, watches included. */
    final AtomicInteger calls = new AtomicInteger();

    volatile State state = State.WORKS;
    private volatile String list;
    private volatile int revision;

    FaultyDiscovery(int revision, String list) throws IOException {
        publish(revision, list);
    }

    /** Replaces the endpoint list and its revision. */
    void publish(int newRevision, String newList) {
        list = newList;
        revision = newRevision;
    }

    @Override
    void serve(Socket socket) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("GET ")) {
                calls.incrementAndGet();
                answer(socket, line.contains("from=" + revision + "&hold_ms=2000"));
            }
        }
    }

    private void answer(Socket socket, boolean watchWithoutUpdate) throws IOException {
        byte[] body = list.getBytes(UTF_8);
        switch (state) {
            case WORKS -> {
                if (!watchWithoutUpdate) {
                    write(socket, "200 OK", body, body.length);
                }
            }
            case RESETS -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case CLOSES -> socket.close();
            case FAILS -> write(socket, "503 Service Unavailable", new byte[0], 0);
            case ANSWERS_HALF -> write(socket, "200 OK", body, body.length / 2);
            default -> {}
        }
    }

    private static void write(Socket socket, String status, byte[] body, int length) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(UTF_8));
        socket.getOutputStream().write(body, 0, length);
    }
}
