/**
 * The simulator's wire: reads batches of events for simulated gateways, has the decisions made by the same {@link
 * ploverdale.routing.Router} that is in service, and writes the actions back. The wire's words stop here. It chooses
 * nothing, reads no clock (time comes with each batch) and runs on the one thread that calls {@link
 * ploverdale.benchlink.BenchLink#run}.
 */
package ploverdale.benchlink;
