package ploverdale.net;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import ploverdale.log.Log;
import ploverdale.model.Action;
import ploverdale.model.Happening;
import ploverdale.model.Listing;
import ploverdale.model.OpId;
import ploverdale.model.OpType;
import ploverdale.model.ServerId;
import ploverdale.net.GatewayFile.ServerList;

/**
 * Owns the parts of one gateway: starts them in order, passes each action of the module to the part that carries
 * it out and each outcome back, gives them a new configuration and ends them at a planned restart. Must never decide anything about an op or a
 * server, nor stop while an op taken in time has no answer.
 */
public final class Gateway implements LogicLoop.Hands {
    private static final long STILL_ARRIVING_MS = 500; // after SIGTERM; new connections are served as before
    private static final int CROSSING_PART = 3; // of the spare ones, for connections that open as others close
    private static final int CALM_LOOKS = 5; // at the clock, with the loop on time, before service begins
    private static final int CALM_MOST = 50;
    private static final long START_LOOK_MS = 10;
    private static final long LOOK_MS = 20;
    private static final long LONGEST_COUNTED_MS = 3000; // the platform kills no earlier than after the longest op timeout,
    private static final long KILLED_AFTER_MS = 700; // counted up to this, and this much more
    private static final long ENDING_TAKES_MS = 1200; // for ops in hand, many times what one usually takes
    private static final long SPARE_MS = 200; // of that for answers to be written, and half of it to exit

    private final Vertx vertx;
    private final Log log;
    private GatewayFile file;
    private final LogicLoop loop;
    private final ClientSide clients;
    private final ServerSide servers;
    private final Discovery discovery;
    private int room;
    private int probesOut;
    private NetServer server; // held, since one that nobody holds may be closed

    private Gateway(Vertx vertx, Context context, Log log, GatewayFile file) {
        this.vertx = vertx;
        this.log = log;
        this.file = file;
        room = room(file);
        loop = new LogicLoop(vertx, context, log, this);
        clients = new ClientSide(vertx, log, loop, file.terms(), file.sockets(), () -> makeRoom(true));
        servers = new ServerSide(vertx, log, file.terms(), () -> makeRoom(false));
        discovery = new Discovery(vertx, log, file.terms(), file.discovery(), this::listed);
    }

    /** What connections may take; the rest is for the program's own files, discovery, crossing closes. */
    private static int room(GatewayFile file) {
        return file.sockets() - spare(file);
    }

    private static int spare(GatewayFile file) {
        return Math.max(24, file.sockets() / 8);
    }

    /** One event loop for all; nothing looked up by name, no files kept. */
    public static Vertx vertx() {
        System.setProperty("vertx.disableDnsResolver", "true");
        return Vertx.builder().with(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1).setBlockedThreadCheckInterval(60_000)
                .setFileSystemOptions(new FileSystemOptions().setFileCachingEnabled(false)
                        .setClassPathResolvingEnabled(false))).build();
    }

    /** Practises, then starts a gateway; done when it listens. */
    public static Future<Gateway> start(Vertx vertx, Log log, GatewayFile file) {
        Context context = vertx.getOrCreateContext();
        return WarmUp.run(vertx, log, file).compose(x -> unpractised(vertx, context, log, file));
    }

    /** Starts a gateway as it is; done when it listens. */
    static Future<Gateway> unpractised(Vertx vertx, Context context, Log log, GatewayFile file) {
        Promise<Gateway> listening = Promise.promise();
        context.runOnContext(x -> new Gateway(vertx, context, log, file).listen(listening));
        return listening.future();
    }

    private void listen(Promise<Gateway> listening) {
        vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true).setAcceptBacklog(1024))
                .connectHandler(clients::accept)
                .listen(file.listen().getPort(), file.listen().getAddress().getHostAddress())
                .onSuccess(s -> {
                    server = s;
                    begin(listening);
                })
                .onFailure(listening::fail);
    }

    /**
     * Guards against first probes and first ops that are late because this program is: the module hears of the servers
     * once the loop is on time, and the first client is let in once the first probes have ended.
     */
    private void begin(Promise<Gateway> listening) {
        loop.tell(file.terms().started());
        when(() -> loop.behind() == 0, CALM_MOST, CALM_LOOKS, () -> {
            listed(file.known());
            discovery.follow();
            when(() -> probesOut == 0, (int) (file.terms().connectLimit() / 10 / START_LOOK_MS) + 1, 1, () -> {
                clients.ready();
                log.line("gateway " + file.name() + " listens at " + file.listen().getAddress().getHostAddress()
                        + ":" + port() + ", " + file.known().entries().size() + " servers known");
                listening.complete(this);
            });
        });
    }

    /** Does the next thing once this was so at that many looks, or after the most looks. */
    private void when(BooleanSupplier so, int most, int wanted, Runnable then) {
        if (wanted == 0 || most == 0) {
            then.run();
        } else {
            vertx.setTimer(START_LOOK_MS, x -> when(so, most - 1, so.getAsBoolean() ? wanted - 1 : wanted, then));
        }
    }

    /**
     * Room for one more connection, to a server or (accepted already) of a client: clients that have long been idle make
     * way, then the longest idle. Guards against running out of descriptors when many ops are released at once, after
     * which no client is accepted for a second: one that is closed gives its descriptor back a turn of the loop later.
     */
    private boolean makeRoom(boolean accepted) {
        while (clients.sessions() + servers.connections() >= room && (clients.closeLongestIdle(true)
                || servers.closeLongestIdle() || clients.closeLongestIdle(false))) {
            continue;
        }
        int closing = accepted ? 0 : clients.closing() + servers.closing();
        return clients.sessions() + servers.connections() + closing < room + spare(file) / CROSSING_PART;
    }

    /** Where it listens. */
    public int port() {
        return server.actualPort();
    }

    private void listed(ServerList list) {
        List<Listing> listings = list.entries().stream().map(GatewayFile.Entry::listing).toList();
        for (GatewayFile.Entry e : list.entries()) {
            if (e.address() != null) {
                servers.reachedAt(e.listing().server(), e.address());
            }
            if (e.listing().stage() == Listing.Stage.GONE) {
                servers.closeIdle(e.listing().server());
            }
        }
        loop.tell(new Happening.ListTold(list.whole(), false, listings));
    }

    @Override
    public void send(Action.Send a) {
        ClientSide.Taken t = clients.taken(a.op());
        if (t == null) { // its client has gone while the module was deciding
            loop.tell(new Happening.SendEnded(a.op(), 0, a.server(), Happening.Ending.NEVER_SENT, 0, true, null, null));
            return;
        }
        int number = t.nextSend();
        servers.send(a.op(), a.server(), a.timeLimit(), waitMs -> PgCodec.ask(t.ask(), waitMs),
                outcome -> sendEnded(a.op(), number, a.server(), outcome));
    }

    private void sendEnded(OpId op, int number, ServerId server, ServerSide.Outcome o) {
        if (o.row() != null) {
            clients.acked(op, o.row());
        }
        loop.tell(new Happening.SendEnded(op, number, server, o.ending(), o.took(), clients.taken(op) == null, o.note(),
                o.report()));
    }

    @Override
    public void callOff(Action.CallOff a) {
        servers.callOff(a.op());
    }

    @Override
    public void busyReply(Action.BusyReply a) {
        clients.busyReplied(a.op(), a.comeBackIn());
    }

    @Override
    public void errorReply(Action.ErrorReply a) {
        clients.errored(a.op());
    }

    @Override
    public void probe(Action.Probe a) {
        probesOut++;
        servers.probe(a.server(), o -> {
            probesOut--;
            loop.tell(new Happening.ProbeEnded(a.server(), o.ending(), o.report()));
        });
    }

    @Override
    public void closeIdle(Action.CloseIdle a) {
        servers.closeIdle(a.server());
    }

    @Override
    public void followList() {
        discovery.follow();
    }

    /**
     * Planned restart. Guards against time without service: goes on serving those that are connected for as long as the
     * platform leaves it to run, then ends idle connections and the others after their answers, and stops when none is
     * left. An op taken on the way is to be answered before the end, whatever its own op timeout.
     */
    public void endPlanned(CountDownLatch done) {
        long longest = file.terms().started().opTypes().stream().mapToLong(OpType::opTimeout).max().orElse(0) / 10;
        long killed = Math.min(longest, LONGEST_COUNTED_MS) + KILLED_AFTER_MS;
        long ends = Math.max(STILL_ARRIVING_MS, killed - ENDING_TAKES_MS);
        long began = System.nanoTime();
        log.line("planned restart: " + clients.sessions() + " connections, " + clients.opsInHand()
                + " ops in hand, serves on for " + ends + " ms");
        clients.answerAllBy(LogicLoop.Clock.now() + (killed - SPARE_MS) * 10);
        vertx.setPeriodic(LOOK_MS, x -> {
            long passed = (System.nanoTime() - began) / 1_000_000;
            if (passed >= ends) {
                clients.endIdle();
            }
            boolean over = passed >= killed - SPARE_MS / 2;
            if (passed >= STILL_ARRIVING_MS + LOOK_MS && clients.sessions() == 0 || over) {
                log.line("planned restart: ends after " + passed + " ms, " + clients.opsInHand() + " ops unanswered");
                done.countDown();
            }
        });
    }

    /**
     * Reads the configuration again, under load. Discovery and the descriptors hold from now on; what the module and
     * the listening socket were started with holds until a restart. One that cannot be read changes nothing.
     */
    public void renew(Path path) {
        GatewayFile next;
        try {
            next = GatewayFile.read(path);
        } catch (RuntimeException e) {
            log.line("new configuration not taken, all goes on as before: " + e.getMessage());
            return;
        }
        runOnLoop(() -> {
            GatewayFile was = file;
            file = next;
            room = room(next);
            boolean kept = next.listen().equals(was.listen())
                    && next.terms().started().opTypes().equals(was.terms().started().opTypes());
            log.line("new configuration: discovery at " + next.discovery().getAddress().getHostAddress() + ":"
                    + next.discovery().getPort() + ", " + next.sockets() + " descriptors"
                    + (kept ? "" : "; what else it says needs a restart"));
            discovery.follow(next.discovery());
        });
    }

    /** Asks discovery no more. */
    void unfollow() {
        discovery.stop();
    }

    public void runOnLoop(Runnable what) {
        loop.run(what);
    }
}
