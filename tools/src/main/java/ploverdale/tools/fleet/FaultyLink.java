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

/**
 * The way of connections from one party to another: carries their bytes, or for a time holds them silently, one direction
 * of them, cuts what is open with a reset, delays, or lets through so many bytes a second. What is held comes when it is
 * healed, as on a network that was away. Belongs to one event loop.
 */
public final class FaultyLink {
    /** What it does with bytes. */
    public enum State {
        OPEN,
        SILENT,
        SILENT_THERE,
        SILENT_BACK,
        REFUSES
    }

    private static final long STEP_MS = 5; // of a throttled way

    private final Vertx vertx;
    private final NetClient net;
    private final String host;
    private final int target;
    private final Set<Pair> pairs = new LinkedHashSet<>();
    private NetServer server;
    private State state = State.OPEN;
    private long delayMs;
    private int bytesAStep; // 0: all

    private FaultyLink(Vertx vertx, String host, int target) {
        this.vertx = vertx;
        this.host = host;
        this.target = target;
        net = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    /** A way to an address of loopback; done when it can be used. */
    public static Future<FaultyLink> open(Vertx vertx, String host, int target) {
        FaultyLink way = new FaultyLink(vertx, host, target);
        return vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                .connectHandler(s -> way.new Pair(s))
                .listen(0, "127.0.0.1")
                .map(s -> {
                    way.server = s;
                    return way;
                });
    }

    /** Where it begins. */
    public int port() {
        return server.actualPort();
    }

    /** From now on it does this; a refusing one first resets what is open. */
    public void state(State now) {
        state = now;
        if (now == State.REFUSES) {
            List.copyOf(pairs).forEach(Pair::reset);
        }
        List.copyOf(pairs).forEach(Pair::flow);
    }

    /** Resets what is open; what comes after is carried as before. */
    public void reset() {
        List.copyOf(pairs).forEach(Pair::reset);
    }

    /** Each part of the bytes comes so much later. */
    public void delay(long ms) {
        delayMs = ms;
    }

    /** So many bytes a second and direction; 0: all. */
    public void throttle(int bytesPerSecond) {
        bytesAStep = bytesPerSecond == 0 ? 0 : (int) Math.max(1, bytesPerSecond * STEP_MS / 1000);
        List.copyOf(pairs).forEach(Pair::flow);
    }

    /** All of it is as at the beginning again. */
    public void heal() {
        delayMs = 0;
        bytesAStep = 0;
        state(State.OPEN);
    }

    public void close() {
        reset();
        server.close();
    }

    private static void reset(NetSocket s) {
        if (s != null) {
            try {
                ((NetSocketInternal) s)
                        .channelHandlerContext()
                        .channel()
                        .config()
                        .setOption(ChannelOption.SO_LINGER, 0);
            } catch (ChannelException e) {
                return; // closed already
            }
            s.close();
        }
    }

    /** One connection, both halves of it. */
    private final class Pair {
        private final Half there = new Half();
        private final Half back = new Half();
        private boolean over;

        private Pair(NetSocket from) {
            if (state == State.REFUSES) {
                FaultyLink.reset(from);
                return;
            }
            pairs.add(this);
            back.to = from;
            attach(from, there);
            net.connect(target, host).onComplete(r -> {
                if (r.failed() || over) {
                    reset();
                    if (r.succeeded()) {
                        FaultyLink.reset(r.result());
                    }
                    return;
                }
                there.to = r.result();
                attach(there.to, back);
                flow();
            });
        }

        private void attach(NetSocket from, Half half) {
            from.exceptionHandler(e -> {});
            from.closeHandler(x -> half.ends());
            from.handler(b -> {
                if (delayMs > 0) {
                    half.late++;
                    vertx.setTimer(delayMs, x -> {
                        half.late--;
                        half.takes(b);
                    });
                } else {
                    half.takes(b);
                }
            });
        }

        private void reset() {
            over = true;
            pairs.remove(this);
            FaultyLink.reset(there.to);
            FaultyLink.reset(back.to);
        }

        private void flow() {
            there.flow();
            back.flow();
        }

        /** One direction. */
        private final class Half {
            private final Deque<Buffer> held = new ArrayDeque<>();
            private NetSocket to;
            private int late;
            private boolean ended;
            private boolean stepping;

            private void takes(Buffer b) {
                held.add(b);
                flow();
            }

            private void ends() {
                ended = true;
                if (blocked()) {
                    reset(); // what was on its way is lost with it
                } else {
                    flow();
                }
            }

            private boolean blocked() {
                return to == null
                        || state == State.SILENT
                        || state == (this == there ? State.SILENT_THERE : State.SILENT_BACK);
            }

            private void flow() {
                while (!over && !blocked() && !held.isEmpty() && !stepping) {
                    Buffer next = held.poll();
                    if (bytesAStep > 0 && next.length() > bytesAStep) {
                        held.addFirst(next.getBuffer(bytesAStep, next.length()));
                        next = next.getBuffer(0, bytesAStep);
                    }
                    to.write(next);
                    if (bytesAStep > 0) {
                        stepping = true;
                        vertx.setTimer(STEP_MS, x -> {
                            stepping = false;
                            flow();
                        });
                    }
                }
                if (!over && ended && !blocked() && held.isEmpty() && late == 0 && !stepping) {
                    over = true;
                    pairs.remove(Pair.this);
                    to.close();
                }
            }
        }
    }
}
