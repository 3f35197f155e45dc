/**
 * Owns the shares of a gateway's descriptors: how many clients may hold, what is kept for servers, and which connection
 * makes way when there are too many. Must never do I/O, look at a clock, or know what a connection carries: it is told
 * of each step and names who is to end; the sockets' owners end it.
 */
package ploverdale.limits;
