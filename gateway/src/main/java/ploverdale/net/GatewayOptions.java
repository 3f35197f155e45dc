package ploverdale.net;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.Optional;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.quota.QuotaSettings;
import ploverdale.settings.ConfigurationFile;

/**
 * What one gateway is started with; see {@link GatewayBuilder}. No component is null.
 *
 * @param context of the event loop that the gateway runs on
 * @param quotaSettings the limits that belong to all gateways; optional, so that without them their classes are not loaded
 */
record GatewayOptions(
        Vertx vertx,
        Context context,
        Log log,
        ConfigurationFile configuration,
        Optional<QuotaSettings> quotaSettings,
        Clock clock) {

    /** Whether the gateway exchanges datagrams with other gateways. */
    boolean hasPeers() {
        return configuration.peerListen() != null;
    }
}
