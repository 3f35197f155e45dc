/**
 * What a gateway knows about each database server, replica group and pending request. The parts of a
 * {@link ploverdale.state.ServerState} keep their fields private and change by named transitions; the rules that decide
 * on transitions are in {@code ploverdale.routing}. The package does no input or output and reads no clock: the current
 * time is passed in. Not thread-safe: everything here belongs to the event loop that runs the router. Times are
 * {@link ploverdale.model.Ticks}.
 */
package ploverdale.state;
