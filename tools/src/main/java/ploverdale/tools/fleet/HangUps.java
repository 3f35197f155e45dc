package ploverdale.tools.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.IntFunction;

/**
 * Has gateways read new settings, one change after the other. A gateway that is starting gets SIGHUP only once it serves,
 * since whoever operates it sends none before. Used on one event loop.
 */
final class HangUps {
    private final Vertx vertx;
    private final List<GatewayProcess> gateways;
    private final DiscoveryAgents agents;
    private final IntFunction<String> settings;
    private final BiConsumer<String, String> log;
    private final Map<Integer, Future<?>> started = new HashMap<>(); // when a gateway may get its last change

    /**
     * @param gateways all gateways, by number
     * @param settings returns the present settings of a gateway
     * @param log receives "schedule" and a message for each change that fails
     */
    HangUps(
            Vertx vertx,
            List<GatewayProcess> gateways,
            DiscoveryAgents agents,
            IntFunction<String> settings,
            BiConsumer<String, String> log) {
        this.vertx = vertx;
        this.gateways = gateways;
        this.agents = agents;
        this.settings = settings;
        this.log = log;
    }

    /** Has a gateway follow another discovery agent, once it has started and after its changes before this one. */
    void add(int number, String agent) {
        GatewayProcess gateway = gateways.get(number);
        Future<?> previous = started.getOrDefault(number, Future.succeededFuture());
        Future<?> next =
                previous.eventually(() -> Future.fromCompletionStage(gateway.started(), vertx.getOrCreateContext()));
        started.put(number, next);
        next.onComplete(result -> follow(number, agent));
    }

    private void follow(int number, String agent) {
        agents.follow(Integer.toString(number), agent);
        try {
            gateways.get(number).reload(settings.apply(number));
        } catch (IOException e) {
            log.accept("schedule", "hang-up failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
