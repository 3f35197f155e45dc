/**
 * Parts of the routing decisions, each a class of its own. They own policy only: the state of each server lies in
 * ploverdale.state, the clock and the source of randomness are handed in, and nothing here does input or output.
 */
package ploverdale.routing;
