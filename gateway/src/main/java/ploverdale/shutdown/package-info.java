/**
 * Owns the course of a graceful shutdown: until when a gateway that shuts down keeps serving, when it closes connections, and
 * when it is finished. Does no input or output and reads no clock; callers pass the time. Never finishes before each accepted
 * request has its answer, unless the platform is about to kill the process anyway. Not thread-safe; used on the event loop.
 */
package ploverdale.shutdown;
