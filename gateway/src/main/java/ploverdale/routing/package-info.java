/**
 * Parts of the routing decisions, each with one job: local health awareness and the queue of health checks. No input or output
 * and no clock; times are handed in, in tenths of a millisecond.
 */
package ploverdale.routing;
