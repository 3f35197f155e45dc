package ploverdale.net;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.function.Consumer;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.quota.QuotaSettings;
import ploverdale.settings.ConfigurationFile;

/** Collects the options of a gateway and starts it. Not thread-safe. */
public final class GatewayBuilder {
    private final Vertx vertx;
    private final Log log;
    private final ConfigurationFile configuration;
    private Optional<QuotaSettings> quotaSettings = Optional.empty();
    private Clock clock = Clock.system();
    private Context context;
    private boolean warmUp = true;
    private Consumer<Gateway> beforeListening = gateway -> {};

    GatewayBuilder(Vertx vertx, Log log, ConfigurationFile configuration) {
        this.vertx = vertx;
        this.log = log;
        this.configuration = configuration;
    }

    /**
     * Sets the limits that all gateways share. The default is empty, which switches quota, membership and replication
     * off.
     */
    public GatewayBuilder quotaSettings(Optional<QuotaSettings> quotaSettings) {
        this.quotaSettings = quotaSettings;
        return this;
    }

    /** Sets the clock that the gateway reads; the default is the system's. */
    public GatewayBuilder clock(Clock clock) {
        this.clock = clock;
        return this;
    }

    /** Sets the context to run on; the default is the current one, or a new one of the Vert.x instance. */
    public GatewayBuilder context(Context context) {
        this.context = context;
        return this;
    }

    /** Omits the warm-up, for a process that has already done it. */
    public GatewayBuilder withoutWarmUp() {
        warmUp = false;
        return this;
    }

    /** Sets what is called on the event loop with the gateway right before it accepts the first connection. */
    public GatewayBuilder beforeListening(Consumer<Gateway> beforeListening) {
        this.beforeListening = beforeListening;
        return this;
    }

    /**
     * Starts the gateway. May be called on any thread.
     *
     * @return completes when the gateway serves, and fails if it cannot listen
     */
    public Future<Gateway> start() {
        Context chosenContext = context == null ? vertx.getOrCreateContext() : context;
        GatewayOptions options =
                new GatewayOptions(vertx, chosenContext, log, configuration, quotaSettings, clock, beforeListening);
        if (!warmUp) {
            return Gateway.start(options);
        }
        return StartupWarmUp.run(vertx, log, configuration, clock).compose(ignored -> Gateway.start(options));
    }
}
