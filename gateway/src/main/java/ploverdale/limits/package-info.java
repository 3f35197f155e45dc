/**
 * Owns what clients may take of a gateway: how many may connect, how many descriptors stay available for connections to
 * servers, which client connection to evict when there are too many, and whose input is run next. Must never do
 * I/O, read a clock, or know what a connection carries: callers report each change of a connection's state and close
 * the connections that this package selects.
 */
package ploverdale.limits;
