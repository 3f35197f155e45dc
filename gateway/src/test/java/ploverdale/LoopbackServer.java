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
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    Thread handler = new Thread(() -> {
                        try {
                            serve(socket);
                        } catch (IOException e) {
                            connectionFailed(socket);
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
    abstract void serve(Socket socket) throws IOException;

    /** Called when {@link #serve} failed, as it does when the connection is closed. */
    void connectionFailed(Socket socket) {}

    int port() {
        return listener.getLocalPort();
    }

    /** Closes all connections accepted so far; new ones are still accepted. */
    void closeConnections() throws IOException {
        closeConnections(false);
    }

    /** Closes all connections accepted so far, by a TCP reset or in the ordinary way. */
    void closeConnections(boolean reset) throws IOException {
        for (Socket socket : List.copyOf(sockets)) {
            if (reset && !socket.isClosed()) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        closeConnections();
    }
}
