package ploverdale.quota;

/**
 * Selects the limits that gateways share, and their capacities.
 *
 * @param tenants whether the request rate of each tenant is a shared limit
 * @param attemptsPerServer attempts in flight at one server; 0: not limited by quota
 * @param slowStartAttemptsPerServer attempts in flight at one server while it is in slow start, which also count
 *     against the limit above; 0: not limited by quota
 * @param serverSlots number of slots onto which server numbers are mapped; servers of the same slot share one limit
 * @param retriesPerSecond attempts other than the first of a request, so hedges included; 0: not limited by quota
 * @param healthChecksPerSecond health checks for any reason; 0: not limited by quota
 */
public record SharedLimitSettings(
        boolean tenants,
        int attemptsPerServer,
        int slowStartAttemptsPerServer,
        int serverSlots,
        int retriesPerSecond,
        int healthChecksPerSecond) {
    /** Returns whether any limit is shared. */
    boolean hasSharedLimits() {
        return tenants || attemptsPerServer + slowStartAttemptsPerServer + retriesPerSecond + healthChecksPerSecond > 0;
    }
}
