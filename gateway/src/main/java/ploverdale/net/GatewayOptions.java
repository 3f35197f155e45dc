package ploverdale.net;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.function.Consumer;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.quota.QuotaSettings;
import ploverdale.settings.ConfigurationFile;

/**
 * The options of one gateway; see {@link GatewayBuilder}. No component is null.
 *
 * @param context the context of the event loop that the gateway runs on
 * @param quotaSettings the limits that all gateways share; optional, so that their classes are not loaded without them
 * @param beforeListening called with the gateway right before it accepts the first connection
 */
record GatewayOptions(
        Vertx vertx,
        Context context,
        Log log,
        ConfigurationFile configuration,
        Optional<QuotaSettings> quotaSettings,
        Clock clock,
        Consumer<Gateway> beforeListening) {

    /** Returns whether the gateway exchanges datagrams with peers. */
    boolean hasPeers() {
        return configuration.peerListen() != null;
    }
}
