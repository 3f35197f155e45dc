package ploverdale.quota;

/**
 * Selects the limits that gateways share, with the capacity of each for all gateways together.
 *
 * @param tenants whether the request rate of each tenant is a shared limit
 * @param attemptsPerServer attempts in flight at one server; 0: not shared
 * @param slowStartAttemptsPerServer attempts in flight at one server while it is in slow start, which also count
 *     against the limit above; 0: not shared
 * @param serverSlots number of slots to which server numbers are mapped; servers of the same slot share one limit
 * @param retriesPerSecond attempts beyond the first of a request; 0: not shared
 * @param healthChecksPerSecond health checks for any reason; 0: not shared
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
