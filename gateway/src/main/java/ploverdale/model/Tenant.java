package ploverdale.model;

/**
 * A tenant.
 *
 * @param requestsPerSecond the tenant's agreed traffic, over all gateways
 */
public record Tenant(double requestsPerSecond) {}
