package ploverdale;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Discovery: serves the complete endpoint list, and answers each watch when the test adds an update. */
final class FakeDiscovery extends LoopbackServer {
    final BlockingQueue<String> asked = new LinkedBlockingQueue<>();
    final BlockingQueue<String> news = new LinkedBlockingQueue<>();
    volatile String whole;
    volatile boolean mute; // takes calls, answers none
    volatile String changes; // answers each watch at once where it is there

    FakeDiscovery(String whole) throws IOException {
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
                body = !uri.contains("?") ? whole : changes != null && uri.contains("from=1&") ? changes : news.take();
            } catch (InterruptedException e) {
                return;
            }
            String status = body.startsWith("status ") ? body.substring(7) : "200 OK";
            byte[] bytes = body.getBytes(UTF_8);
            s.getOutputStream()
                    .write(("HTTP/1.1 " + status + "\r\nContent-Length: " + bytes.length + "\r\n\r\n").getBytes(UTF_8));
            s.getOutputStream().write(bytes);
        }
    }

    /** Waits for a call, and skips those before it. */
    void asked(String uri) throws InterruptedException {
        for (String a = ""; !a.equals(uri); ) {
            a = asked.poll(GatewayTestFixture.PATIENCE_S, TimeUnit.SECONDS);
            assertThat(a).as("discovery is asked for %s", uri).isNotNull();
        }
    }
}
