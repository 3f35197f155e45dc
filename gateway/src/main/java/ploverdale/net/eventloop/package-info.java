/**
 * Owns the one thread that runs a gateway: how its event loop waits ({@link ploverdale.net.eventloop.SleepingTransport}), the
 * queue of events that it hands to the router and the order in which actions are carried out ({@link
 * ploverdale.net.eventloop.RouterEventLoop}), and what it can do to a socket within the current turn of the loop ({@link
 * ploverdale.net.eventloop.NioSockets}). Never decides about a request or a server, and knows no connection by itself. Runs on
 * the event loop, except where a doc comment says otherwise.
 */
package ploverdale.net.eventloop;
