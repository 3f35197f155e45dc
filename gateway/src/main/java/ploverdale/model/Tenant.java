package ploverdale.model;

/** A tenant's agreed traffic over all gateways. */
public record Tenant(double requestsPerSecond) {}
