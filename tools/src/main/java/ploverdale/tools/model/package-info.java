/**
 * Owns a model of one replica group: which server is the primary, how far each replica has applied the log, elections, slow
 * start, drains, tokens by which repeats of writes are dropped, and faults. Must never do I/O or read a clock: the time, in
 * ticks (a tenth of a millisecond), and the source of randomness are passed in, so that the model can back sockets and can
 * also run in simulated time.
 */
package ploverdale.tools.model;
