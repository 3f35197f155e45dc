package ploverdale.net.eventloop;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.internal.VertxInternal;
import io.vertx.core.spi.transport.Transport;

/** Creates the Vert.x instance that a gateway runs on. Its methods may be called on any thread. */
public final class SingleLoopVertx {
    private static final long BLOCKED_THREAD_CHECK_MS = 60_000;

    private SingleLoopVertx() {}

    /**
     * Returns a new instance with one event loop for all sockets and timers, without a DNS resolver or a file cache.
     */
    public static Vertx create() {
        return create(new SleepingTransport());
    }

    /**
     * Returns a new instance as {@link #create()} does, on another NIO transport; for tests in which system calls fail.
     *
     * @param nio creates the channels and the selector
     */
    public static Vertx create(Transport nio) {
        return create(new SleepingTransport(nio));
    }

    private static Vertx create(SleepingTransport transport) {
        System.setProperty("vertx.disableDnsResolver", "true");
        Vertx vertx = Vertx.builder()
                .withTransport(transport)
                .with(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setBlockedThreadCheckInterval(BLOCKED_THREAD_CHECK_MS)
                        .setFileSystemOptions(new FileSystemOptions()
                                .setFileCachingEnabled(false)
                                .setClassPathResolvingEnabled(false)))
                .build();
        transport.setClientLoop(((VertxInternal) vertx).nettyEventLoopGroup().next());
        return vertx;
    }
}
