/**
 * Owns the course of a planned restart: until when a gateway that leaves serves on, when it ends connections, and when it
 * is over. Must never do I/O or look at a clock, and never let the end come before an op in hand has its answer, but for
 * the time at which the platform ends it anyway.
 */
package ploverdale.shutdown;
