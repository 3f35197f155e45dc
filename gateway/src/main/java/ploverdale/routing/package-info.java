/**
 * Every decision about requests and servers. {@link ploverdale.routing.Router} is the entry point and
 * {@link ploverdale.routing.EventDecisions} shows which part takes which event; each other class is one decision, named for the
 * published concept. What a gateway knows lies in {@code ploverdale.state}. The clock is passed in with each event, randomness comes
 * from a generator that is seeded at start, and nothing here does input or output: the same events at the same times give the same
 * actions. Not thread-safe. Times are {@link ploverdale.model.Ticks}.
 */
package ploverdale.routing;
