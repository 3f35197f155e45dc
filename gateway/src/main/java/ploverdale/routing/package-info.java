/**
 * Parts of the routing decisions, each a class with one job: slow start, local health awareness, the queue of health checks. The
 * state of each server lies in ploverdale.state; the clock and the source of randomness are handed in, in tenths of a millisecond,
 * and nothing here does input or output.
 */
package ploverdale.routing;
