package ploverdale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A server on a free loopback port that serves each connection on a thread of its own. */
abstract class LoopbackServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

    LoopbackServer() throws IOException {
        Thread acceptor = new Thread(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket s = listener.accept();
                    sockets.add(s);
                    Thread handler = new Thread(() -> {
                        try {
                            serve(s);
                        } catch (IOException e) {
                            connectionFailed(s);
                        }
                    });
                    handler.setDaemon(true);
                    handler.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Serves a connection on its own thread until it returns or fails. */
    abstract void serve(Socket s) throws IOException;

    /** Called when {@link #serve} failed, as it does when the connection is closed. */
    void connectionFailed(Socket s) {}

    int port() {
        return listener.getLocalPort();
    }

    /** Closes all connections accepted so far; new ones are still accepted. */
    void closeConnections() throws IOException {
        closeConnections(false);
    }

    /** Closes all connections accepted so far, by a TCP reset or in the ordinary way. */
    void closeConnections(boolean reset) throws IOException {
        for (Socket s : List.copyOf(sockets)) {
            if (reset && !s.isClosed()) {
                s.setSoLinger(true, 0);
            }
            s.close();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        closeConnections();
    }
}
