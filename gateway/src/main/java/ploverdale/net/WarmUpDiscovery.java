package ploverdale.net;

import io.vertx.core.net.NetSocket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The fake discovery agent of the warm-up: answers the first call on a connection and leaves the watch after it
 * pending.
 */
final class WarmUpDiscovery {
    private WarmUpDiscovery() {}

    /** Serves a connection with an endpoint list in which all servers have the same address. */
    static void accept(NetSocket socket, List<String> servers, InetSocketAddress address) {
        String members = servers.stream().map(server -> member(server, address)).collect(Collectors.joining(","));
        String body = "{\"revision\":1,\"complete\":true,\"members\":[" + members + "]}";
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        socket.handler(request -> socket.write(response).onComplete(ignored -> socket.handler(watch -> {})));
    }

    private static String member(String server, InetSocketAddress address) {
        return "{\"id\":\"" + server + "\",\"host_port\":\""
                + address.getAddress().getHostAddress() + ":" + address.getPort()
                + "\",\"cell\":0,\"phase\":\"SERVING\",\"up_since_ms\":0}";
    }
}
