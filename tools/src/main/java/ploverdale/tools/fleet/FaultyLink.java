package ploverdale.tools.fleet;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * A TCP proxy between two parties that injects network faults: it holds the bytes of one or both directions, resets
 * connections, adds a delay or limits the throughput. Held bytes are forwarded when the link is healed, as after a network
 * partition. Must be used on one event loop.
 */
public final class FaultyLink {
    /** What the link does with connections and their bytes. */
    public enum State {
        /** Forwards all bytes. */
        OPEN,
        /** Accepts connections, but holds the bytes of both directions. */
        SILENT,
        /** Holds the bytes from the connecting party to the target. */
        SILENT_THERE,
        /** Holds the bytes from the target to the connecting party. */
        SILENT_BACK,
        /** Resets all connections, open and new. */
        REFUSES
    }

    /** By how much late bytes are delayed, at most. */
    private static final int MAX_LATE_MS = 300;

    /** The time between two writes of a throttled link. */
    private static final long THROTTLE_INTERVAL_MS = 5;

    private final Vertx vertx;
    private final NetClient client;
    private final String host;
    private final int targetPort;
    private final Set<ProxiedConnection> connections = new LinkedHashSet<>();
    private NetServer server;
    private State state = State.OPEN;
    private long delayMs;
    private int bytesPerInterval; // 0: unlimited
    private double lateShare;
    private RandomGenerator lateRandom; // null until some bytes are late

    private FaultyLink(Vertx vertx, String host, int targetPort) {
        this.vertx = vertx;
        this.host = host;
        this.targetPort = targetPort;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    /** Opens a link to a port; the future completes when it accepts connections on a free port of loopback. */
    public static Future<FaultyLink> open(Vertx vertx, String host, int targetPort) {
        FaultyLink link = new FaultyLink(vertx, host, targetPort);
        return vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                .connectHandler(socket -> link.new ProxiedConnection(socket))
                .listen(0, "127.0.0.1")
                .map(listening -> {
                    link.server = listening;
                    return link;
                });
    }

    /** Returns the port that the connecting party connects to. */
    public int port() {
        return server.actualPort();
    }

    /** Changes the state; {@link State#REFUSES} also resets the open connections. */
    public void setState(State next) {
        state = next;
        if (next == State.REFUSES) {
            List.copyOf(connections).forEach(ProxiedConnection::reset);
        }
        List.copyOf(connections).forEach(ProxiedConnection::forward);
    }

    /** Resets the open connections; new ones are forwarded as before. */
    public void reset() {
        List.copyOf(connections).forEach(ProxiedConnection::reset);
    }

    /** Delays all bytes of both directions. */
    public void delay(long ms) {
        delayMs = ms;
    }

    /** Delays this share of what the target sends; on each connection, what it sends after that waits, too. */
    public void delayAnswers(double share, RandomGenerator random) {
        lateShare = share;
        lateRandom = random;
    }

    private long answerDelayMs() {
        boolean late = lateShare > 0 && lateRandom.nextDouble() < lateShare;
        return late ? lateRandom.nextInt(1, MAX_LATE_MS) : 0;
    }

    /** Limits the throughput of each connection and direction; 0: unlimited. */
    public void throttle(int bytesPerSecond) {
        bytesPerInterval = bytesPerSecond == 0 ? 0 : (int) Math.max(1, bytesPerSecond * THROTTLE_INTERVAL_MS / 1000);
        List.copyOf(connections).forEach(ProxiedConnection::forward);
    }

    /** Removes all faults; held bytes are forwarded. */
    public void heal() {
        delayMs = 0;
        lateShare = 0;
        bytesPerInterval = 0;
        setState(State.OPEN);
    }

    public void close() {
        reset();
        server.close();
    }

    /** Closes a socket with a TCP reset; null is ignored. */
    private static void resetSocket(NetSocket socket) {
        if (socket != null) {
            try {
                ((NetSocketInternal) socket)
                        .channelHandlerContext()
                        .channel()
                        .config()
                        .setOption(ChannelOption.SO_LINGER, 0);
            } catch (ChannelException e) {
                return; // already closed
            }
            socket.close();
        }
    }

    /** One forwarded connection: the socket of the connecting party and the one to the target. */
    private final class ProxiedConnection {
        private final Direction toTarget = new Direction();
        private final Direction toSource = new Direction();
        private boolean closed;

        private ProxiedConnection(NetSocket from) {
            if (state == State.REFUSES) {
                resetSocket(from);
                return;
            }
            connections.add(this);
            toSource.to = from;
            attach(from, toTarget);
            client.connect(targetPort, host).onComplete(r -> {
                if (r.failed() || closed) {
                    reset();
                    if (r.succeeded()) {
                        resetSocket(r.result());
                    }
                    return;
                }
                toTarget.to = r.result();
                attach(toTarget.to, toSource);
                forward();
            });
        }

        private void attach(NetSocket from, Direction direction) {
            from.exceptionHandler(e -> {});
            from.closeHandler(x -> direction.onClosed());
            from.handler(buffer -> {
                long answerDelayMs = direction == toSource ? answerDelayMs() : 0;
                direction.enqueueAfter(delayMs + answerDelayMs, buffer);
            });
        }

        private void reset() {
            closed = true;
            connections.remove(this);
            resetSocket(toTarget.to);
            resetSocket(toSource.to);
        }

        private void forward() {
            toTarget.forward();
            toSource.forward();
        }

        /** One direction of the connection. */
        private final class Direction {
            private final Deque<Buffer> queue = new ArrayDeque<>();
            private NetSocket to;
            private final Deque<Buffer> delayed = new ArrayDeque<>(); // a timer runs for each
            private long lastDueAtMs;
            private boolean sourceClosed;
            private boolean awaitsInterval;

            /** Forwards the bytes after this delay, and not before those that came earlier. */
            private void enqueueAfter(long bufferDelayMs, Buffer buffer) {
                long nowMs = System.nanoTime() / 1_000_000;
                lastDueAtMs = Math.max(lastDueAtMs, nowMs + bufferDelayMs);
                if (delayed.isEmpty() && bufferDelayMs == 0) {
                    enqueue(buffer);
                    return;
                }
                delayed.add(buffer);
                vertx.setTimer(Math.max(1, lastDueAtMs - nowMs), timer -> enqueue(delayed.poll()));
            }

            private void enqueue(Buffer buffer) {
                queue.add(buffer);
                forward();
            }

            private void onClosed() {
                sourceClosed = true;
                if (blocked()) {
                    reset(); // bytes in flight are lost with the connection
                } else {
                    forward();
                }
            }

            private boolean blocked() {
                return to == null
                        || state == State.SILENT
                        || state == (this == toTarget ? State.SILENT_THERE : State.SILENT_BACK);
            }

            private void forward() {
                while (!closed && !blocked() && !queue.isEmpty() && !awaitsInterval) {
                    Buffer next = queue.poll();
                    if (bytesPerInterval > 0 && next.length() > bytesPerInterval) {
                        queue.addFirst(next.getBuffer(bytesPerInterval, next.length()));
                        next = next.getBuffer(0, bytesPerInterval);
                    }
                    to.write(next);
                    if (bytesPerInterval > 0) {
                        awaitsInterval = true;
                        vertx.setTimer(THROTTLE_INTERVAL_MS, x -> {
                            awaitsInterval = false;
                            forward();
                        });
                    }
                }
                if (!closed && sourceClosed && !blocked() && queue.isEmpty() && delayed.isEmpty() && !awaitsInterval) {
                    closed = true;
                    connections.remove(ProxiedConnection.this);
                    to.close();
                }
            }
        }
    }
}
