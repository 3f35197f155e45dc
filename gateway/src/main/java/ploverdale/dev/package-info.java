/**
 * Development stand-ins for trying out a gateway on one machine: database servers with discovery, a client, and a
 * warm-up run of a gateway between them, which the build also uses to record the class data archive. Never part of a
 * gateway in service, and never used for load tests. Runs on the event loop.
 */
package ploverdale.dev;
