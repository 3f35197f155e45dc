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

/** Discovery that serves the complete endpoint list, and answers each watch when the test adds an update. */
final class FakeDiscovery extends LoopbackServer {
    /** URIs of the requests received, in order. */
    final BlockingQueue<String> requestedUris = new LinkedBlockingQueue<>();

    /** Responses to the next watches; one that begins with "status " is sent as the HTTP status line instead. */
    final BlockingQueue<String> updates = new LinkedBlockingQueue<>();

    volatile String completeList;
    volatile boolean unresponsive; // accepts requests, answers none
    volatile String firstWatchResponse; // unless null, answers each watch from revision 1 at once

    FakeDiscovery(String completeList) throws IOException {
        this.completeList = completeList;
    }

    @Override
    void serve(Socket s) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (!line.startsWith("GET ")) {
                continue;
            }
            String uri = line.split(" ")[1];
            requestedUris.add(uri);
            if (unresponsive) {
                continue;
            }
            String body;
            try {
                body = !uri.contains("?")
                        ? completeList
                        : firstWatchResponse != null && uri.contains("from=1&") ? firstWatchResponse : updates.take();
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

    /** Waits for a request of this URI and discards those before it. */
    void awaitRequest(String uri) throws InterruptedException {
        for (String requested = ""; !requested.equals(uri); ) {
            requested = requestedUris.poll(GatewayTestFixture.TIMEOUT_S, TimeUnit.SECONDS);
            assertThat(requested).as("discovery receives a request for %s", uri).isNotNull();
        }
    }
}
