package ploverdale.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.settings.ConfigurationFile;
import ploverdale.settings.ConfigurationFile.ServerList;
import ploverdale.settings.GatewaySettings;
import ploverdale.settings.InvalidSettingsException;
import ploverdale.settings.JsonFields;

/**
 * Owns the talk with discovery: asks for the whole list at start and then watches it, one call after the other, at
 * the address that the configuration names last. Must never judge a server, keep a list of its own, or call in a busy loop.
 */
public final class Discovery {
    private static final String PATH = "/registry/instances";
    // A change counts as told 6 s after discovery had it and could be reached, whatever became of a call. Within that
    // time a
    // watch that fell silent is given up and a few further calls may fail: 2 + 1.2 s, then calls of 1.2 s each.
    private static final long HOLD_MS = 2000; // a watch
    private static final long GRACE_MS = 1200; // past a watch, or for a call without one, before the next call is made
    private static final long AGAIN_FIRST_MS =
            100; // after a failed call; doubled, and up to half as much more by chance
    private static final long AGAIN_MOST_MS = 400;
    // One that does not come up holds up no later call. A call that is overdue keeps its connection until a later one
    // is
    // answered or needs it: discovery may be slow rather than gone, and then no call is answered within the grace.
    private static final int CONNECTIONS_MOST = 3;
    private static final int KEEP_ALIVE_S = 2; // for an idle connection; longer than the longest wait between two calls
    private static final int BODY_MOST = 4 * 1024 * 1024;

    private final Vertx vertx;
    private final Log log;
    private final GatewaySettings settings;
    private final Consumer<ServerList> told;
    private final HttpClient http;
    private final RandomGenerator random;
    private final Clock clock;
    private InetSocketAddress at;
    private long askTimer = -1; // a call to come
    private long revision = -1; // below 0: the whole list is wanted
    private final Deque<Call> calls = new ArrayDeque<>(); // under way, the latest last
    private long again = AGAIN_FIRST_MS;
    private long lostAt;
    private boolean lost;
    private boolean stopped;

    public Discovery(
            Vertx vertx,
            Log log,
            GatewaySettings settings,
            InetSocketAddress at,
            RandomGenerator random,
            Consumer<ServerList> told,
            Clock clock) {
        this.clock = clock;
        this.random = random;
        this.vertx = vertx;
        this.log = log;
        this.settings = settings;
        this.at = at;
        this.told = told;
        http = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout((int) GRACE_MS)
                        .setTcpNoDelay(true)
                        .setKeepAliveTimeout(KEEP_ALIVE_S),
                new PoolOptions().setHttp1MaxSize(CONNECTIONS_MOST).setMaxWaitQueueSize(CONNECTIONS_MOST));
    }

    /** One call, from its making to its answer, its failure or the moment at which nobody wants its answer any more. */
    private final class Call {
        private HttpClientRequest request; // once it has a connection
        private long graceTimer;
        private boolean over;

        private void end() {
            over = true;
            calls.remove(this);
            vertx.cancelTimer(graceTimer);
            if (request != null) {
                request.reset();
            }
        }
    }

    /** Asks for the whole list, and for its changes from then on; the calls under way end. */
    public void follow() {
        revision = -1;
        endCalls();
        ask();
    }

    /** The same, elsewhere from now on. */
    public void follow(InetSocketAddress elsewhere) {
        at = elsewhere;
        again = AGAIN_FIRST_MS;
        follow();
    }

    /** Asks no more. */
    public void stop() {
        stopped = true;
        endCalls();
        vertx.cancelTimer(askTimer);
    }

    private void askIn(long ms) {
        vertx.cancelTimer(askTimer);
        askTimer = stopped ? -1 : vertx.setTimer(ms, x -> ask());
    }

    private void endCalls() {
        List.copyOf(calls).forEach(Call::end);
    }

    private void ask() {
        vertx.cancelTimer(askTimer);
        if (calls.size() >= CONNECTIONS_MOST) {
            calls.peekFirst().end();
        }
        long hold =
                revision < 0 || lost ? 0 : HOLD_MS; // after a loss the first call is to show soon whether it is over
        String uri = revision < 0 ? PATH : PATH + "?from=" + revision + "&hold_ms=" + hold;
        RequestOptions what = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setURI(uri)
                .setHost(at.getAddress().getHostAddress())
                .setPort(at.getPort());
        Call call = new Call();
        calls.addLast(call);
        call.graceTimer = vertx.setTimer(hold + GRACE_MS, x -> overdue(call, hold > 0));
        http.request(what)
                .compose(r -> {
                    if (call.over) {
                        r.reset(); // a later call has taken its place
                        return Future.failedFuture("not wanted any more");
                    }
                    call.request = r;
                    return r.send();
                })
                .onComplete(r -> {
                    if (r.failed()) {
                        failed(call, String.valueOf(r.cause().getMessage()));
                    } else {
                        collect(call, r.result());
                    }
                });
    }

    private void collect(Call call, HttpClientResponse answer) {
        Buffer body = Buffer.buffer();
        answer.handler(b -> {
            if (body.length() + b.length() > BODY_MOST) {
                answer.request().reset();
            } else {
                body.appendBuffer(b);
            }
        });
        answer.exceptionHandler(e -> failed(call, "broken off: " + e.getMessage()));
        answer.endHandler(x -> {
            call.request = null; // complete: there is nothing to reset, and its connection is free for the next call
            if (answer.statusCode() != 200) {
                failed(call, "status " + answer.statusCode());
            } else {
                read(call, body.toString());
            }
        });
    }

    private void read(Call call, String body) {
        if (call.over) {
            return;
        }
        ServerList list;
        try {
            list = ConfigurationFile.serverList(JsonFields.of("list", ConfigurationFile.json(body, "list")), settings);
        } catch (InvalidSettingsException e) {
            failed(call, e.getMessage()); // changes nothing
            return;
        }
        call.end();
        endCalls(); // what they would tell is as old, or older
        if (lost) {
            log.line("discovery back after " + (clock.monotonicMs() - lostAt) + " ms, revision " + list.revision());
        }
        lost = false;
        again = AGAIN_FIRST_MS;
        if (!list.leftOut().isEmpty()) {
            log.often("list entries left out", String.join(", ", list.leftOut()));
        }
        // Guards against an agent that starts anew: changes of an older list say nothing about this one.
        boolean older = !list.whole() && list.revision() < revision;
        if (older || !list.whole() && revision < 0) {
            log.line("discovery went back from revision " + revision + " to " + list.revision() + ": asks for all");
            revision = -1;
            askIn(AGAIN_FIRST_MS);
            return;
        }
        if (list.whole() || !list.entries().isEmpty()) {
            told.accept(list);
        }
        revision = list.revision();
        ask();
    }

    /** A call has had its time: another is made soon, whose answer or this one's counts, whichever comes first. */
    private void overdue(Call call, boolean watch) {
        if (watch) {
            call.end(); // a watch that has fallen silent is broken
        }
        askAgain("no answer");
    }

    private void failed(Call call, String why) {
        if (call.over) {
            return;
        }
        boolean latest = call == calls.peekLast();
        call.end();
        if (latest) { // where an overdue one fails, a later one is under way already
            askAgain(why);
        }
    }

    private void askAgain(String why) {
        if (!lost) {
            lost = true;
            lostAt = clock.monotonicMs();
            log.line("discovery lost: " + why);
        }
        askIn(again
                + random.nextLong(again / 2)); // so that gateways that lost it together do not all come back at once
        again = Math.min(AGAIN_MOST_MS, again * 2);
    }
}
