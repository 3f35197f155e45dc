package ploverdale.model;

/** The index of a tenant in the list of the settings. */
public record TenantId(int index) {}
