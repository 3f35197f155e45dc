package ploverdale.cli;

import java.util.Optional;
import ploverdale.model.Event;
import ploverdale.quota.QuotaAllocation;
import ploverdale.quota.QuotaSettings;
import ploverdale.settings.ConfigurationFile;

/** Reads the configuration as {@link ServeCommand} does, and prints a summary of it. */
public final class CheckCommand extends QuotaCommand {
    @Override
    public int run() {
        ConfigurationFile configuration = readConfiguration();
        System.out.println("gateway " + configuration.name() + " listens at " + configuration.listen()
                + ", discovery at " + configuration.discovery());
        System.out.println(configuration.settings().requestClasses().size() + " op types, "
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
        System.out.println("fleet of " + allocation.gateways() + ", division " + Integer.toHexString(allocation.id())
                + ", floor " + quotaSettings.guaranteedShare() + " of each right");
        for (int limit = 0; limit < allocation.limits().size(); limit++) {
            System.out.println("  " + allocation.limits().get(limit).name() + ": "
                    + allocation.limits().get(limit).capacity() + " in all, "
                    + allocation.entitlement(settings.gatewayIndex(), limit) + " here by right, of them "
                    + allocation.guaranteedUnits(settings.gatewayIndex(), limit) + " as floor");
        }
        if (quotaSettings.replication() != null) {
            System.out.println("  kept by " + quotaSettings.replication().replicationFactor() + ": "
                    + quotaSettings.replication());
        }
    }
}
