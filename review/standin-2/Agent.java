import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** The discovery agent on a gateway's machine: the whole list, and watches that wait for changes. */
final class Agent {
    private record Entry(String json, long revision) {}

    private final HttpServer server;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long revision = 1;

    Agent() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "agent");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/registry/instances", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void list(String id, String address, String zone, String phase, long upSinceMs, String rank) {
        revision++;
        String json = "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"" + zone + "\",\"flavor\":\"c4-std\","
                + "\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":" + upSinceMs
                + (rank.isEmpty() ? "" : ",\"rank\":\"" + rank + "\"") + "}";
        entries.put(id, new Entry(json, revision));
        notifyAll();
    }

    synchronized String whole() {
        return body(true, -1);
    }

    private String body(boolean complete, long from) {
        String members = entries.values().stream()
                .filter(entry -> entry.revision > from)
                .map(Entry::json)
                .collect(Collectors.joining(","));
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + members + "]}";
    }

    private void handle(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        String body;
        synchronized (this) {
            if (query == null || !query.contains("from=")) {
                body = body(true, -1);
            } else {
                long from = number(query, "from=");
                double until = Clock.now() + (query.contains("hold_ms=") ? number(query, "hold_ms=") : 0);
                while (revision <= from && Clock.now() < until) {
                    try {
                        wait(Math.max(1, (long) (until - Clock.now())));
                    } catch (InterruptedException interrupted) {
                        throw new IOException(interrupted);
                    }
                }
                body = body(false, from);
            }
        }
        byte[] bytes = body.getBytes();
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static long number(String query, String name) {
        String rest = query.substring(query.indexOf(name) + name.length());
        int end = rest.indexOf('&');
        return Long.parseLong(end < 0 ? rest : rest.substring(0, end));
    }
}
