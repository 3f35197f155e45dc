package ploverdale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A server on loopback: listens at a free port and serves each connection on a thread of its own. */
abstract class LoopbackServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

    LoopbackServer() throws IOException {
        Thread t = new Thread(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket s = listener.accept();
                    sockets.add(s);
                    Thread own = new Thread(() -> {
                        try {
                            serve(s);
                        } catch (IOException e) {
                            connectionFailed(s);
                        }
                    });
                    own.setDaemon(true);
                    own.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        t.setDaemon(true);
        t.start();
    }

    abstract void serve(Socket s) throws IOException;

    void connectionFailed(Socket s) {}

    int port() {
        return listener.getLocalPort();
    }

    /** Closes the connections that there are; new ones may come. */
    void closeConnections() throws IOException {
        closeConnections(false);
    }

    /** Ends every connection accepted so far, by a reset or in order. */
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
