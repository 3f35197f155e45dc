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
    private final int tenantCount;
    private final List<SharedLimit> limits = new ArrayList<>();
    private final OptionalInt firstServerLimit;
    private final OptionalInt firstSlowStartServerLimit;
    private final OptionalInt retryLimit;
    private final OptionalInt healthCheckLimit;

    SharedLimitTable(SharedLimitSettings settings, Started configuration) {
        this.settings = settings;
        tenantCount = settings.tenants() ? configuration.tenants().size() : 0;
        for (int tenant = 0; tenant < tenantCount; tenant++) {
            limits.add(newTenantLimit(tenant, configuration.tenants().get(tenant)));
        }
        long maxHoldTime = longestTimeout(configuration);
        firstServerLimit = addServers("server ", settings.attemptsPerServer(), maxHoldTime);
        firstSlowStartServerLimit = addServers("cold server ", settings.slowStartAttemptsPerServer(), maxHoldTime);
        retryLimit = addRate("second sends", settings.retriesPerSecond());
        healthCheckLimit = addRate("probes", settings.healthChecksPerSecond());
    }

    private static SharedLimit newTenantLimit(int number, Tenant tenant) {
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

    private OptionalInt addServers(String namePrefix, int capacity, long maxHoldTime) {
        if (capacity == 0) {
            return OptionalInt.empty();
        }
        int firstLimit = limits.size();
        for (int slot = 0; slot < settings.serverSlots(); slot++) {
            limits.add(new SharedLimit(namePrefix + slot, Kind.CONCURRENCY, capacity, maxHoldTime));
        }
        return OptionalInt.of(firstLimit);
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
        return tenantCount > 0;
    }

    /** Returns the limit on the request rate of a tenant. */
    OptionalInt tenantLimit(TenantId tenant) {
        return tenant.index() < tenantCount ? OptionalInt.of(tenant.index()) : OptionalInt.empty();
    }

    /** Returns whether attempts in flight at a server are limited by quota. */
    boolean sharesAttempts() {
        return firstServerLimit.isPresent();
    }

    /** Returns the limit on attempts in flight at the server of a given number. */
    OptionalInt attemptLimit(int server) {
        return limitOfSlot(firstServerLimit, server);
    }

    /** Returns the limit on attempts in flight at the server of a given number while it is in slow start. */
    OptionalInt slowStartAttemptLimit(int server) {
        return limitOfSlot(firstSlowStartServerLimit, server);
    }

    private OptionalInt limitOfSlot(OptionalInt firstLimit, int server) {
        if (firstLimit.isEmpty()) {
            return firstLimit;
        }
        return OptionalInt.of(firstLimit.getAsInt() + Math.floorMod(server, settings.serverSlots()));
    }

    /** Returns the limit on the rate of retries. */
    OptionalInt retryLimit() {
        return retryLimit;
    }

    /** Returns the limit on the rate of health checks. */
    OptionalInt healthCheckLimit() {
        return healthCheckLimit;
    }
}
