package ploverdale.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.model.Endpoint;
import ploverdale.model.GroupId;
import ploverdale.model.ServerId;
import ploverdale.model.Tenant;
import ploverdale.model.ZoneId;
import ploverdale.net.postgres.ClientMessage;
import ploverdale.net.postgres.ClientMessageReader;
import ploverdale.net.postgres.MessageWriter;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage;
import ploverdale.net.postgres.ServerMessageReader;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.EndpointList;

/**
 * Owns the practice before service: a gateway of its own, with a module of its own, between a made-up client, server and
 * discovery at free ports of the gateway's address, so that classes are loaded and methods compiled before a client
 * waits for them. Must never reach anyone else, leave anything behind, or keep service from beginning.
 */
final class StartupWarmUp {
    private static final int OPS_MOST = 120; // most is called twice an op or more, and compiled after 200 calls
    private static final int OPS_LEAST = 24; // after these all classes are there
    private static final double OF_A_SECOND = 0.5; // of the ops agreed for one gateway; what is compiled for more is
    // needed late, and meanwhile nobody serves
    private static final long ENOUGH_MS = 3000; // on a slow machine; after a restart nobody may serve meanwhile
    private static final long MOST_MS = 5000; // then service begins all the same
    private static final int ANSWERS_A_CONNECTION = 2;
    private static final String COLUMN = "val";

    private StartupWarmUp() {}

    /** Practises; done when all of it is gone again, however it went. */
    static Future<Void> run(Vertx vertx, Log log, ConfigurationFile file, Clock clock) {
        long began = clock.monotonicMs();
        return vertx.deployVerticle(new Practice(file, clock))
                .compose(vertx::undeploy)
                .otherwise(e -> {
                    log.line("service begins without practice: " + e.getMessage());
                    return null;
                })
                .onSuccess(x -> log.line("practised for " + (clock.monotonicMs() - began) + " ms"));
    }

    /** All that it opens, its timers too, ends with it. */
    private static final class Practice extends VerticleBase {
        private final ConfigurationFile file;
        private final int requests;
        private final Clock clock;
        private final long began;
        private NetClient client;

        private Practice(ConfigurationFile file, Clock clock) {
            this.file = file;
            this.clock = clock;
            began = clock.monotonicMs();
            double agreed = file.settings().started().tenants().stream()
                            .mapToDouble(Tenant::requestsPerSecond)
                            .sum()
                    / Math.max(1, file.settings().started().gateways());
            requests = agreed == 0 ? OPS_MOST : (int) Math.max(OPS_LEAST, Math.min(OPS_MOST, agreed * OF_A_SECOND));
        }

        @Override
        public Future<?> start() {
            Log nowhere = new Log(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
            client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
            return listen(this::serve)
                    .compose(server -> listen(s -> list(s, server)).compose(list -> {
                        List<EndpointList.Entry> made = new ArrayList<>();
                        for (String name : List.of("a", "b", "c")) {
                            made.add(new EndpointList.Entry(
                                    new Endpoint(
                                            new ServerId(name),
                                            new GroupId(0),
                                            new ZoneId(0),
                                            Endpoint.EndpointState.IN,
                                            true,
                                            0),
                                    server));
                        }
                        return Gateway.unpractised(
                                vertx,
                                context,
                                nowhere,
                                new ConfigurationFile(
                                        "practice",
                                        at(0),
                                        list,
                                        file.seed(),
                                        file.sockets(),
                                        file.settings(),
                                        new EndpointList(0, true, made, List.of()),
                                        null,
                                        List.of()),
                                clock);
                    }))
                    .compose(g -> requests(at(g.port())).onComplete(x -> g.unfollow()))
                    .timeout(MOST_MS, TimeUnit.MILLISECONDS);
        }

        private InetSocketAddress at(int port) {
            return new InetSocketAddress(file.listen().getAddress(), port);
        }

        private Future<InetSocketAddress> listen(Consumer<NetSocket> to) {
            return vertx.createNetServer()
                    .connectHandler(to::accept)
                    .listen(0, file.listen().getAddress().getHostAddress())
                    .map(NetServer::actualPort)
                    .map(this::at);
        }

        /** Asks one op after the other, each on a connection of its own. */
        private Future<Void> requests(InetSocketAddress gateway) {
            Promise<Void> all = Promise.promise();
            request(gateway, 0, all);
            return all.future();
        }

        private void request(InetSocketAddress gateway, int i, Promise<Void> all) {
            if (i == requests || clock.monotonicMs() - began >= ENOUGH_MS) {
                all.tryComplete();
                return;
            }
            client.connect(SocketAddress.inetSocketAddress(gateway)).onComplete(r -> {
                if (r.failed()) {
                    all.tryFail(r.cause());
                    return;
                }
                NetSocket s = r.result();
                ServerMessageReader stream = new ServerMessageReader();
                int[] ready = {0};
                s.handler(b -> {
                    stream.feed(b);
                    for (ServerMessage m = stream.next(); m != null; m = stream.next()) {
                        if (m instanceof ServerMessage.ReadyForQuery && ++ready[0] == 2) { // the greeting and the op
                            s.close();
                        }
                    }
                });
                s.closeHandler(x -> request(gateway, i + 1, all));
                s.write(MessageWriter.startup().appendBuffer(query(i)));
            });
        }

        private Buffer query(int i) {
            int type = i % file.settings().requestClasses().size();
            String tenant = file.settings().tenants().isEmpty()
                    ? ""
                    : ",t=" + file.settings().tenants().get(0);
            return MessageWriter.query("SELECT " + COLUMN + " FROM state WHERE uid = 'k" + i % 9 + "' /* id=" + i
                    + ",c=" + file.settings().requestClasses().get(type) + tenant + ",d=900,cluster=0 */");
        }

        /** The made-up server, which ends its connections so that opening them is practised, too. */
        private void serve(NetSocket s) {
            ClientMessageReader stream = new ClientMessageReader();
            int[] answers = {0};
            s.handler(b -> {
                stream.feed(b);
                for (ClientMessage m = stream.next(); m != null; m = stream.next()) {
                    if (m instanceof ClientMessage.Startup) {
                        s.write(MessageWriter.startupResponse());
                        continue;
                    }
                    long now = clock.now() / 10; // the made-up server's wall clock is right
                    String vitals = "x0=" + now / 1000 + "." + (1000 + now % 1000 + "").substring(1) + ",x1=1,util=0.1";
                    Buffer answer = Buffer.buffer();
                    MessageWriter.parameterStatus(answer, "rank", "source");
                    MessageWriter.parameterStatus(answer, "as_of", Long.toString(now));
                    MessageWriter.parameterStatus(answer, "vitals", vitals);
                    s.write(answer.appendBuffer(MessageWriter.resultRow(new ResultRow(
                            new ServerMessage.RowDescription(COLUMN, 0, (short) 0, 17, (short) -1, -1, (short) 1),
                            vitals.getBytes(StandardCharsets.UTF_8),
                            "SELECT 1"))));
                    if (++answers[0] == ANSWERS_A_CONNECTION) {
                        s.close();
                        return;
                    }
                }
            });
        }

        /** The made-up discovery: answers one call, and lets the watch that follows wait. */
        private static void list(NetSocket s, InetSocketAddress server) {
            String body = "{\"revision\":1,\"complete\":false,\"members\":[{\"id\":\"a\",\"host_port\":\""
                    + server.getAddress().getHostAddress() + ":" + server.getPort()
                    + "\",\"cell\":0,\"phase\":\"SERVING\",\"up_since_ms\":0}]}";
            s.handler(b -> s.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .onComplete(x -> s.handler(more -> {})));
        }
    }
}
