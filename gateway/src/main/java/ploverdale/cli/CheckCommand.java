package ploverdale.cli;

import java.util.Optional;
import ploverdale.model.Event;
import ploverdale.net.ConfigurationFile;
import ploverdale.quota.QuotaAllocation;
import ploverdale.quota.QuotaSettings;

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
        QuotaAllocation allocation = quotaSettings.division(settings);
        System.out.println("fleet of " + allocation.gateways() + ", division " + Integer.toHexString(allocation.id())
                + ", floor " + quotaSettings.floorShare() + " of each right");
        for (int budget = 0; budget < allocation.budgets().size(); budget++) {
            System.out.println("  " + allocation.budgets().get(budget).name() + ": "
                    + allocation.budgets().get(budget).whole() + " in all, "
                    + allocation.right(settings.me(), budget) + " here by right, of them "
                    + allocation.floor(settings.me(), budget) + " as floor");
        }
        if (quotaSettings.keeping() != null) {
            System.out.println("  kept by " + quotaSettings.keeping().replicationFactor() + ": " + quotaSettings.keeping());
        }
    }
}
