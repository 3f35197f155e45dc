/**
 * Owns the connections of clients: accepting, refusing and evicting them, the messages read from each, the requests accepted
 * from them and their responses in order, cancel messages, and closing. Runs on the gateway's event loop only. Must never
 * decide the outcome of a request or choose a server; the router does, and its decisions come back as responses.
 */
package ploverdale.net.client;
