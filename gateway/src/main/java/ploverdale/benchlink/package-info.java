/**
 * Connects the gateway's decisions to a simulator: reads batches of events for simulated gateways, passes them to the
 * same {@link ploverdale.routing.Router} that gateways in service use, and writes the resulting actions. The names of
 * the simulator's wire are translated here and used nowhere else. This package makes no decisions, reads no clock (each
 * batch has its time) and runs on the thread that calls {@link ploverdale.benchlink.BenchLink#run}.
 */
package ploverdale.benchlink;
