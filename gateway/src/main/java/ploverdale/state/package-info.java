/**
 * What a gateway knows of each database server, each replica group and each pending request. The parts of a
 * {@link ploverdale.state.ServerState} keep their fields private and change by named transitions; which rule decides on a
 * transition is the business of {@code ploverdale.routing}. No input or output, no clock: the current time is passed in. Not
 * thread-safe; all of it belongs to the event loop that runs the router. Times are {@link ploverdale.model.Ticks}.
 */
package ploverdale.state;
