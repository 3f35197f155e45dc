package ploverdale.net;

import io.vertx.core.net.NetSocket;
import java.net.InetSocketAddress;

/** The stand-in discovery of the warm-up: answers the first call on a connection and leaves the watch after it pending. */
final class WarmUpDiscovery {
    private WarmUpDiscovery() {}

    /** Serves a connection with an endpoint list that names one server. */
    static void accept(NetSocket socket, InetSocketAddress server) {
        String body = "{\"revision\":1,\"complete\":false,\"members\":[{\"id\":\"a\",\"host_port\":\""
                + server.getAddress().getHostAddress() + ":" + server.getPort()
                + "\",\"cell\":0,\"phase\":\"SERVING\",\"up_since_ms\":0}]}";
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        socket.handler(request -> socket.write(response).onComplete(ignored -> socket.handler(watch -> {})));
    }
}
