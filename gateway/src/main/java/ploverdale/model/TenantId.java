package ploverdale.model;

/** Place of a tenant in the list told at start. */
public record TenantId(int index) {}
