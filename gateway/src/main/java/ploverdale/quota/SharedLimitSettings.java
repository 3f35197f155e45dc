package ploverdale.quota;

/**
 * Which limits the gateways share.
 *
 * @param tenants whether the request rate of each tenant is a shared limit
 * @param attemptsPerServer in flight at one server; 0: not shared
 * @param slowStartAttemptsPerServer in flight at one server while it is in slow start, within the above; 0: not shared
 * @param serverSlots over which servers are spread by their number; servers of the same slot share its units
 * @param retriesPerSecond all attempts beyond a request's first; 0: not shared
 * @param healthChecksPerSecond for whatever reason; 0: not shared
 */
public record SharedLimitSettings(
        boolean tenants,
        int attemptsPerServer,
        int slowStartAttemptsPerServer,
        int serverSlots,
        int retriesPerSecond,
        int healthChecksPerSecond) {
    /** Whether anything is shared. */
    boolean any() {
        return tenants || attemptsPerServer + slowStartAttemptsPerServer + retriesPerSecond + healthChecksPerSecond > 0;
    }
}
