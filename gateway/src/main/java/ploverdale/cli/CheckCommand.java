package ploverdale.cli;

import java.util.Optional;
import ploverdale.model.Event;
import ploverdale.quota.QuotaAllocation;
import ploverdale.quota.QuotaSettings;
import ploverdale.settings.ConfigurationFile;

/** Reads and validates the configuration as {@link ServeCommand} does, and prints a summary of it. */
public final class CheckCommand extends QuotaCommand {
    @Override
    public int run() {
        ConfigurationFile configuration = readConfiguration();
        System.out.println("gateway " + configuration.name() + " listens at " + configuration.listen()
                + ", discovery at " + configuration.discovery());
        System.out.println(configuration.settings().requestClasses().size() + " request classes, "
                + configuration.settings().tenants().size() + " tenants, "
                + configuration.known().entries().size() + " servers known, " + configuration.sockets()
                + " descriptors");
        Optional<QuotaSettings> quotaSettings = readQuotaSettings(configuration);
        if (quotaSettings.isPresent()) {
            printQuota(quotaSettings.get(), configuration.settings().started());
        }
        return 0;
    }

    private static void printQuota(QuotaSettings quotaSettings, Event.Started settings) {
        QuotaAllocation allocation = quotaSettings.allocation(settings);
        System.out.println("shared limits of " + allocation.gateways() + " gateways, allocation " + Integer.toHexString(allocation.id())
                + ", guaranteed share " + quotaSettings.guaranteedShare() + " of each entitlement");
        for (int limit = 0; limit < allocation.limits().size(); limit++) {
            System.out.println("  " + allocation.limits().get(limit).name() + ": "
                    + allocation.limits().get(limit).capacity() + " units in total, "
                    + allocation.entitlement(settings.gatewayIndex(), limit) + " of this gateway, of which "
                    + allocation.guaranteedUnits(settings.gatewayIndex(), limit) + " are guaranteed");
        }
        if (quotaSettings.replication() != null) {
            System.out.println("  replicated on " + quotaSettings.replication().replicationFactor() + " gateways: "
                    + quotaSettings.replication());
        }
    }
}
