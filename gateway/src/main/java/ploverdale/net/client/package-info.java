/**
 * Owns the client connections: accepts, refuses, evicts and closes them, decodes their messages, accepts their
 * requests, writes the responses in order, and handles cancel messages. Runs on the gateway's event loop only. Must
 * never decide the outcome of a request or choose a server; the router does both and returns its decisions as
 * responses.
 */
package ploverdale.net.client;
