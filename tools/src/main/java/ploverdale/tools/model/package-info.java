/**
 * Owns a model of one replicated group: who leads, how far each replica has applied the log, elections, cold servers,
 * drains, tokens that drop repeats, faults. Must never do I/O or look at a clock: time, in tenths of a millisecond, and
 * chance are handed in, so that the same model stands behind sockets and, later, runs in simulated time.
 */
package ploverdale.tools.model;
