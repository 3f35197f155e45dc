/**
 * Owns the development stand-ins: database servers with discovery, a client, and a rehearsal of both with a gateway, for a first
 * try on one machine and for the build's class archive. Never part of a gateway in service, and never used for load. Runs on the
 * event loop.
 */
package ploverdale.dev;
