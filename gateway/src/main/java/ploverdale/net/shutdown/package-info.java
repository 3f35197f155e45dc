/**
 * Executes a graceful shutdown on sockets and timers, as {@link ploverdale.shutdown.GracefulShutdown} decides it. Never
 * decides when a phase begins, and never terminates the process itself. Runs on the event loop.
 */
package ploverdale.net.shutdown;
