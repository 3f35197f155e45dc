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
 * The start sequence of a gateway whose components have been created. Its order ensures that neither the first health
 * checks nor the first requests are late because this process is still busy starting:
 *
 * <ol>
 *   <li>request the endpoint list from discovery and wait for it, since drains and removals that discovery reported
 *       before the start apply from the first request on;
 *   <li>listen for clients, whose connections queue for now, and for peers;
 *   <li>wait until the event loop has no lag;
 *   <li>load the endpoint list, which starts the first health checks;
 *   <li>wait until these have ended; if a peer has sent its observations, wait for the first of them only;
 *   <li>serve.
 * </ol>
 *
 * <p>Each wait has a limit, so none can prevent the gateway from serving. Used once, on the event loop only.
 */
final class GatewayStartup {
    private static final long TICKS_PER_MS = 10;
    private static final long POLL_MS = 10;
    private static final int ON_TIME_POLLS = 5; // required without lag before the endpoint list is loaded
    private static final int MAX_ON_TIME_POLLS = 50;
    private static final long FIRST_GOSSIP_WAIT_MS = 100; // after that, serves without observations of peers
    private static final long FIRST_LIST_WAIT_MS = 5000; // keeps a start below 10 s if the agent does not answer

    private final Vertx vertx;
    private final ConfigurationFile configuration;
    private final GatewayOptions options;
    private final Clock clock;
    private final RouterEventLoop loop;
    private final ClientConnections clients;
    private final PeerTransport peers;
    private final GatewayActions actions;

    /** The endpoint lists that a gateway starts with. */
    interface EndpointLists {
        /** Requests the list from discovery. */
        void request();

        /** Returns whether discovery has answered. */
        boolean hasDiscoveryAnswered();

        /** Puts the lists in force; the configured one if discovery has not answered. */
        void load();
    }

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
     * @param lists the first endpoint lists for the router
     * @param beforeListening called right before the first connection is accepted
     * @return completes with the listening socket when the gateway serves, and fails if it cannot listen
     */
    Future<NetServer> run(Event.Started settings, EndpointLists lists, Runnable beforeListening) {
        Promise<NetServer> serving = Promise.promise();
        loop.enqueue(settings);
        lists.request();
        awaitLists(lists)
                .compose(ignored -> {
                    beforeListening.run();
                    return new ListeningSocket(vertx, options.log(), clients).listen(configuration.listen());
                })
                .compose(listener -> peers.listen(configuration.peerListen()).map(listener))
                .onSuccess(listener -> awaitLoopWithoutLag(lists, () -> serve(listener, serving)))
                .onFailure(serving::fail);
        return serving.future();
    }

    private Future<Void> awaitLists(EndpointLists lists) {
        Promise<Void> known = Promise.promise();
        long deadlineMs = clock.monotonicMs() + FIRST_LIST_WAIT_MS;
        poll(
                () -> lists.hasDiscoveryAnswered() || clock.monotonicMs() >= deadlineMs,
                Integer.MAX_VALUE,
                1,
                known::complete);
        return known.future();
    }

    private void awaitLoopWithoutLag(EndpointLists lists, Runnable serve) {
        poll(() -> loop.lag() == 0, MAX_ON_TIME_POLLS, ON_TIME_POLLS, () -> {
            lists.load();
            awaitFirstHealthChecks(serve);
        });
    }

    private void awaitFirstHealthChecks(Runnable serve) {
        long sinceMs = clock.monotonicMs();
        long maxWaitMs = configuration.settings().connectLimit() / TICKS_PER_MS;
        int maxPolls = (int) (maxWaitMs / POLL_MS) + 1;
        poll(() -> isServerHealthKnown(sinceMs), maxPolls, 1, serve);
    }

    private boolean isServerHealthKnown(long sinceMs) {
        if (peers.hasReceivedGossip()) {
            return actions.healthChecksEnded() > 0;
        }
        boolean gossipMayArrive = peers.isEnabled() && clock.monotonicMs() - sinceMs <= FIRST_GOSSIP_WAIT_MS;
        return firstHealthChecksEnded() && !gossipMayArrive;
    }

    /**
     * Returns whether no health check is in flight and the router has handled the results of all, after which it may
     * have started further ones.
     */
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

    /**
     * Runs the next step once the condition was true at the required number of polls, or after the maximum number of
     * polls.
     */
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
