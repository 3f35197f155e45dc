package ploverdale;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery that answers requests for the complete list with a delay, as if overloaded, and never answers a watch. */
final class SlowDiscovery extends LoopbackServer {
    /** Number of connections that the gateway has not closed yet. */
    final AtomicInteger openConnections = new AtomicInteger();

    /** Number of requests received, watches included. */
    final AtomicInteger calls = new AtomicInteger();

    private final String list;
    private final long answersAfterMs;

    SlowDiscovery(String list, long answersAfterMs) throws IOException {
        this.list = list;
        this.answersAfterMs = answersAfterMs;
    }

    @Override
    void serve(Socket socket) throws IOException {
        openConnections.incrementAndGet();
        try {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), UTF_8));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.startsWith("GET ")) {
                    calls.incrementAndGet();
                    answer(socket, line.contains("?"));
                }
            }
        } finally {
            openConnections.decrementAndGet();
            socket.close();
        }
    }

    private void answer(Socket socket, boolean watch) throws IOException {
        if (watch) {
            return;
        }
        try {
            Thread.sleep(answersAfterMs);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        byte[] body = list.getBytes(UTF_8);
        socket.getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(UTF_8));
        socket.getOutputStream().write(body);
    }
}
