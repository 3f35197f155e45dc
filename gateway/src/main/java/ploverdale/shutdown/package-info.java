/**
 * Owns the phases of a graceful shutdown: how long a gateway that shuts down continues to serve, when it closes
 * connections, and when it is finished. Does no I/O and reads no clock; callers pass the time. Never finishes before
 * each accepted request has been answered, unless the process is about to be killed. Not thread-safe; used on the event
 * loop.
 */
package ploverdale.shutdown;
