package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import ploverdale.model.Event.Started;
import ploverdale.model.Tenant;
import ploverdale.model.TenantId;
import ploverdale.quota.SharedLimit.Kind;

/**
 * The shared limits of a configuration. Their order, and so the index of each limit, is the same at all gateways:
 * tenants, servers, servers in slow start, retries, health checks. Each lookup returns the index of a limit, or empty
 * where that limit is not shared. Immutable.
 */
final class SharedLimitTable {
    private static final long TICKS_PER_SECOND = 10_000;

    private final SharedLimitSettings settings;
    private final int tenants;
    private final List<SharedLimit> limits = new ArrayList<>();
    private final OptionalInt firstServer;
    private final OptionalInt firstSlowStartServer;
    private final OptionalInt retries;
    private final OptionalInt healthChecks;

    SharedLimitTable(SharedLimitSettings settings, Started configuration) {
        this.settings = settings;
        tenants = settings.tenants() ? configuration.tenants().size() : 0;
        for (int tenant = 0; tenant < tenants; tenant++) {
            limits.add(tenantLimit(tenant, configuration.tenants().get(tenant)));
        }
        long longestUse = longestTimeout(configuration);
        firstServer = addServers("server ", settings.attemptsPerServer(), longestUse);
        firstSlowStartServer = addServers("cold server ", settings.slowStartAttemptsPerServer(), longestUse);
        retries = addRate("second sends", settings.retriesPerSecond());
        healthChecks = addRate("probes", settings.healthChecksPerSecond());
    }

    private static SharedLimit tenantLimit(int number, Tenant tenant) {
        int capacity = (int) Math.min(SharedLimit.MAX_CAPACITY, tenant.requestsPerSecond());
        return new SharedLimit("tenant " + number, Kind.RATE, capacity, TICKS_PER_SECOND);
    }

    /**
     * Returns the longest timeout of any request class. An attempt is abandoned at the timeout of its request, so no
     * attempt is in flight for longer.
     */
    private static long longestTimeout(Started configuration) {
        return configuration.requestClasses().stream()
                .mapToLong(requestClass -> requestClass.timeout())
                .max()
                .orElse(TICKS_PER_SECOND);
    }

    private OptionalInt addServers(String namePrefix, int capacity, long longestUse) {
        if (capacity == 0) {
            return OptionalInt.empty();
        }
        int first = limits.size();
        for (int slot = 0; slot < settings.serverSlots(); slot++) {
            limits.add(new SharedLimit(namePrefix + slot, Kind.CONCURRENCY, capacity, longestUse));
        }
        return OptionalInt.of(first);
    }

    private OptionalInt addRate(String name, int capacity) {
        if (capacity == 0) {
            return OptionalInt.empty();
        }
        limits.add(new SharedLimit(name, Kind.RATE, capacity, TICKS_PER_SECOND));
        return OptionalInt.of(limits.size() - 1);
    }

    /** Returns all shared limits in the order of their indexes. */
    List<SharedLimit> limits() {
        return List.copyOf(limits);
    }

    /** Returns whether the request rates of tenants are shared. */
    boolean sharesTenants() {
        return tenants > 0;
    }

    /** Returns the limit on the request rate of a tenant. */
    OptionalInt tenant(TenantId tenant) {
        return tenant.index() < tenants ? OptionalInt.of(tenant.index()) : OptionalInt.empty();
    }

    /** Returns whether attempts in flight at a server are limited by quota. */
    boolean sharesAttempts() {
        return firstServer.isPresent();
    }

    /** Returns the limit on attempts in flight at the server of a given number. */
    OptionalInt attempts(int server) {
        return slot(firstServer, server);
    }

    /** Returns the limit on attempts in flight at the server of a given number while it is in slow start. */
    OptionalInt slowStartAttempts(int server) {
        return slot(firstSlowStartServer, server);
    }

    private OptionalInt slot(OptionalInt first, int server) {
        if (first.isEmpty()) {
            return first;
        }
        return OptionalInt.of(first.getAsInt() + Math.floorMod(server, settings.serverSlots()));
    }

    /** Returns the limit on the rate of retries and hedges. */
    OptionalInt retries() {
        return retries;
    }

    /** Returns the limit on the rate of health checks. */
    OptionalInt healthChecks() {
        return healthChecks;
    }
}
