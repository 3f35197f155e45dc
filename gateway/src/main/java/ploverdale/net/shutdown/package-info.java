/**
 * Owns the execution of a graceful shutdown on sockets and timers, as {@link ploverdale.shutdown.GracefulShutdown} decides it.
 * Never decides when a phase begins, and never ends the process itself. Runs on the event loop.
 */
package ploverdale.net.shutdown;
