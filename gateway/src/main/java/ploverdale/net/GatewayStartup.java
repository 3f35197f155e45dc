package ploverdale.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.util.function.BooleanSupplier;
import ploverdale.clock.Clock;
import ploverdale.model.Event;
import ploverdale.net.client.ClientConnections;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.net.peer.PeerTransport;
import ploverdale.settings.ConfigurationFile;

/**
 * The steps from created parts to service, so that no first health check and no first request is late because this process is:
 *
 * <ol>
 *   <li>listen for clients, whose connections queue, and for peers;
 *   <li>wait until the event loop is on time;
 *   <li>load the endpoint list, which starts the first health checks;
 *   <li>wait until these have ended, or the first of them where a peer has sent its observations;
 *   <li>serve.
 * </ol>
 *
 * <p>No wait can keep service from beginning: each has a limit. Used on the event loop only, and once.
 */
final class GatewayStartup {
    private static final long TENTHS_PER_MS = 10;
    private static final long POLL_MS = 10;
    private static final int ON_TIME_POLLS = 5; // with the loop on time, before the endpoint list is loaded
    private static final int MAX_ON_TIME_POLLS = 50;
    private static final long FIRST_GOSSIP_WAIT_MS = 100; // then service begins without observations of peers

    private final Vertx vertx;
    private final ConfigurationFile configuration;
    private final GatewayOptions options;
    private final Clock clock;
    private final RouterEventLoop loop;
    private final ClientConnections clients;
    private final PeerTransport peers;
    private final GatewayActions actions;

    GatewayStartup(
            GatewayOptions options,
            RouterEventLoop loop,
            ClientConnections clients,
            PeerTransport peers,
            GatewayActions actions) {
        vertx = options.vertx();
        configuration = options.configuration();
        clock = options.clock();
        this.options = options;
        this.loop = loop;
        this.clients = clients;
        this.peers = peers;
        this.actions = actions;
    }

    /**
     * Runs all steps.
     *
     * @param settings the router's first event
     * @param loadEndpoints loads the known endpoint list and follows its changes
     * @return completes with the listening socket when the gateway serves, and fails when it cannot listen
     */
    Future<NetServer> run(Event.Started settings, Runnable loadEndpoints) {
        Promise<NetServer> serving = Promise.promise();
        new ListeningSocket(vertx, options.log(), clients)
                .listen(configuration.listen())
                .compose(listener -> peers.listen(configuration.peerListen()).map(listener))
                .onSuccess(listener -> awaitLoop(settings, loadEndpoints, () -> serve(listener, serving)))
                .onFailure(serving::fail);
        return serving.future();
    }

    private void awaitLoop(Event.Started settings, Runnable loadEndpoints, Runnable serve) {
        loop.enqueue(settings);
        poll(() -> loop.lag() == 0, MAX_ON_TIME_POLLS, ON_TIME_POLLS, () -> {
            loadEndpoints.run();
            awaitFirstHealthChecks(serve);
        });
    }

    private void awaitFirstHealthChecks(Runnable serve) {
        long sinceMs = clock.monotonicMs();
        long maxWaitMs = configuration.settings().connectLimit() / TENTHS_PER_MS;
        int maxPolls = (int) (maxWaitMs / POLL_MS) + 1;
        poll(() -> serversAreKnown(sinceMs), maxPolls, 1, serve);
    }

    private boolean serversAreKnown(long sinceMs) {
        if (peers.hasReceived()) {
            return actions.healthChecksEnded() > 0;
        }
        boolean gossipMayArrive = peers.isEnabled() && clock.monotonicMs() - sinceMs <= FIRST_GOSSIP_WAIT_MS;
        return firstHealthChecksEnded() && !gossipMayArrive;
    }

    /** Also that the router has been handed all their ends, after which it may have started further ones. */
    private boolean firstHealthChecksEnded() {
        return actions.healthChecksInFlight() == 0 && loop.isQueueEmpty();
    }

    private void serve(NetServer listener, Promise<NetServer> serving) {
        clients.startServing();
        options.log()
                .line("gateway " + configuration.name() + " listens at "
                        + configuration.listen().getAddress().getHostAddress() + ":" + listener.actualPort() + ", "
                        + configuration.known().entries().size() + " servers known");
        serving.complete(listener);
    }

    /** Runs the next step once a condition was true at that many polls, or after the most polls. */
    private void poll(BooleanSupplier condition, int maxPolls, int requiredPolls, Runnable next) {
        if (requiredPolls == 0 || maxPolls == 0) {
            next.run();
            return;
        }
        vertx.setTimer(POLL_MS, id -> {
            int stillRequired = condition.getAsBoolean() ? requiredPolls - 1 : requiredPolls;
            poll(condition, maxPolls - 1, stillRequired, next);
        });
    }
}
