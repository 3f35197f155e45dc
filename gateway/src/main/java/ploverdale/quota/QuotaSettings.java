package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;
import ploverdale.model.Event.Started;
import ploverdale.quota.SharedLimit.Kind;
import ploverdale.replication.ReplicationSettings;

/**
 * What of a fleet is a budget, and how it is divided. Servers are spread over slots by a number that all gateways know them
 * by; two in one slot share its parts.
 *
 * @param tenants whether each tenant's agreed traffic is a budget
 * @param sendsAtServer out at one server; 0: not a budget
 * @param coldSends out at one server while it is cold; 0: not a budget
 * @param serverSlots over which servers are spread
 * @param secondSends a second, all that follow an op's first; 0: not a budget
 * @param probes a second; 0: not a budget
 * @param guaranteedShare of each gateway's right that it owns outright
 * @param replication what else gateways hold together, see {@code ploverdale.replication}; null: nothing
 */
public record QuotaSettings(
        boolean tenants,
        int sendsAtServer,
        int coldSends,
        int serverSlots,
        int secondSends,
        int probes,
        double guaranteedShare,
        LeaseDurations leaseDurations,
        double bytesPerSecond,
        ReplicationSettings replication) {
    private static final long SECOND = 10_000; // times are tenths of a millisecond

    /** Whether there is anything for the fleet to hold together. */
    public boolean any() {
        return tenants || sendsAtServer + coldSends + secondSends + probes > 0 || replication != null;
    }

    /** How the budgets are divided among the gateways that are told of; their order is that of the numbers below. */
    public QuotaAllocation allocation(Started told) {
        List<SharedLimit> all = new ArrayList<>();
        for (int t = 0; t < tenantBudgets(told); t++) {
            int whole = (int)
                    Math.min(QuotaAllocation.WHOLE_MOST, told.tenants().get(t).requestsPerSecond());
            all.add(new SharedLimit("tenant " + t, Kind.RATE, whole, SECOND));
        }
        long longest =
                told.requestClasses().stream().mapToLong(o -> o.timeout()).max().orElse(SECOND);
        for (int s = 0; sendsAtServer > 0 && s < serverSlots; s++) {
            all.add(new SharedLimit("server " + s, Kind.CONCURRENCY, sendsAtServer, longest));
        }
        for (int s = 0; coldSends > 0 && s < serverSlots; s++) {
            all.add(new SharedLimit("cold server " + s, Kind.CONCURRENCY, coldSends, longest));
        }
        if (secondSends > 0) {
            all.add(new SharedLimit("second sends", Kind.RATE, secondSends, SECOND));
        }
        if (probes > 0) {
            all.add(new SharedLimit("probes", Kind.RATE, probes, SECOND));
        }
        return new QuotaAllocation(all, told.gateways(), guaranteedShare);
    }

    /** How many of the budgets, the first ones, are tenants'. */
    int tenantBudgets(Started told) {
        return tenants ? told.tenants().size() : 0;
    }

    /** The budget of sends at the server of this number, or -1. */
    int sends(int tenantBudgets, int server) {
        return sendsAtServer == 0 ? -1 : tenantBudgets + Math.floorMod(server, serverSlots);
    }

    /** The budget of sends at it while it is cold, or -1. */
    int cold(int tenantBudgets, int server) {
        return coldSends == 0
                ? -1
                : tenantBudgets + (sendsAtServer > 0 ? serverSlots : 0) + Math.floorMod(server, serverSlots);
    }

    private int behindServers(int tenantBudgets) {
        return tenantBudgets + (sendsAtServer > 0 ? serverSlots : 0) + (coldSends > 0 ? serverSlots : 0);
    }

    /** The budget of second sends, or -1. */
    int again(int tenantBudgets) {
        return secondSends == 0 ? -1 : behindServers(tenantBudgets);
    }

    /** The budget of probes, or -1. */
    int probing(int tenantBudgets) {
        return probes == 0 ? -1 : behindServers(tenantBudgets) + (secondSends > 0 ? 1 : 0);
    }
}
