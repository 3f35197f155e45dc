package ploverdale.model;

/** Identifies a tenant by its index in the list of the settings. */
public record TenantId(int index) {}
