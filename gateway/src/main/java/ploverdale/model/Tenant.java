package ploverdale.model;

/** A customer's agreed traffic over all gateways. */
public record Tenant(double requestsPerSecond) {}
