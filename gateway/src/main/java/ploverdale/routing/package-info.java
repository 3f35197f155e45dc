/**
 * All decisions about requests and servers. {@link ploverdale.routing.Router} is the entry point, and
 * {@link ploverdale.routing.EventDecisions} shows which class handles which event. Each of the other classes makes one
 * kind of decision and is named after the usual concept of the field. What the gateway knows about servers and requests
 * is kept in {@code ploverdale.state}. The package is deterministic: the current time is passed in with each event,
 * random numbers come from a generator that is seeded at the start, and nothing here does input or output, so the same
 * events at the same times result in the same actions. Not thread-safe. Times are {@link ploverdale.model.Ticks}.
 */
package ploverdale.routing;
