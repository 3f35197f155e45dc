/**
 * Owns the allocation of a gateway's file descriptors: how many clients may connect, how many descriptors stay
 * available for connections to servers, and which client connection to evict when there are too many. Must never do
 * I/O, read a clock, or know what a connection carries: callers report each change of a connection's state and close
 * the connections that this package selects.
 */
package ploverdale.limits;
