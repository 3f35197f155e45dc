package ploverdale.dev;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import ploverdale.log.Log;
import ploverdale.net.Gateway;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.EndpointList;

/**
 * Owns a rehearsal: a gateway between toy servers and a toy client in one process, at free loopback ports. It shows
 * that the program serves on this machine, and runs what a gateway runs while the build records which classes
 * that needs. Must never be part of a gateway in service.
 */
public final class Rehearsal {
    private static final int OPS = 60;
    private static final int AGAIN_MOST = 100;
    private static final long AGAIN_MS = 50; // as a client that is told to come back

    private Rehearsal() {}

    /** Plays it; the future holds how many ops were acked, of how many. */
    public static Future<String> play(Vertx vertx, Log log, ConfigurationFile file) {
        InetSocketAddress here = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return DevServers.start(vertx, file, true)
                .compose(toy -> {
                    EndpointList known = new EndpointList(0, true, toy.entries(), java.util.List.of());
                    return Gateway.start(
                            vertx,
                            log,
                            new ConfigurationFile(
                                    file.name(),
                                    here,
                                    toy.discovery(),
                                    file.seed(),
                                    file.sockets(),
                                    file.settings(),
                                    known,
                                    null,
                                    java.util.List.of()));
                })
                .compose(g -> DevClient.connect(vertx, new InetSocketAddress(here.getAddress(), g.port())))
                .compose(c -> c.ask("")
                        .compose(x -> c.ask("SELECT nothing"))
                        .compose(x -> requests(vertx, c, file, 0, 0, 0))
                        .compose(acked -> c.close().map(acked)))
                .compose(acked -> acked == OPS
                        ? Future.succeededFuture(acked + " of " + OPS + " ops acked")
                        : Future.failedFuture("only " + acked + " of " + OPS + " ops acked"));
    }

    private static Future<Integer> requests(
            Vertx vertx, DevClient c, ConfigurationFile file, int i, int acked, int again) {
        if (i == OPS) {
            return Future.succeededFuture(acked);
        }
        String type = file.settings()
                .requestClasses()
                .get(i % file.settings().requestClasses().size());
        boolean write = file.settings()
                        .started()
                        .requestClasses()
                        .get(i % file.settings().requestClasses().size())
                        .needs()
                == ploverdale.model.RequestClass.Consistency.WRITE;
        String tenant = file.settings().tenants().isEmpty()
                ? ""
                : ",t=" + file.settings().tenants().get(0);
        long group = file.known().entries().get(0).endpoint().group().number();
        String comment = " /* id=" + Integer.toHexString(0x1000 + 16 * i + again) + ",c=" + type + tenant
                + ",d=1000,cluster=" + group + " */";
        return c.ask(
                        write
                                ? "INSERT INTO state (uid, val) VALUES ('k" + i % 7 + "', '\\x"
                                        + "ab".repeat(1 + i * 500) + "') RETURNING val" + comment
                                : "SELECT val FROM state WHERE uid = 'k" + i % 7 + "'" + comment)
                .compose(answer -> {
                    boolean busy = answer.contains("53300") && again < AGAIN_MOST; // as at the very start
                    return busy
                            ? vertx.timer(AGAIN_MS, TimeUnit.MILLISECONDS)
                                    .compose(x -> requests(vertx, c, file, i, acked, again + 1))
                            : requests(vertx, c, file, i + 1, acked + (answer.startsWith("row ") ? 1 : 0), 0);
                });
    }
}
