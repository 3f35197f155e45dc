/**
 * Owns the event loop that runs a gateway: how it waits ({@link ploverdale.net.eventloop.SleepingTransport}), how it
 * passes queued events to the router and has the actions carried out in order ({@link
 * ploverdale.net.eventloop.RouterEventLoop}), and which socket operations take effect within the current turn of the
 * loop ({@link ploverdale.net.eventloop.NioSockets}). Never decides about a request or a server, and keeps no
 * connections. Runs on the event loop, unless a doc comment says otherwise.
 */
package ploverdale.net.eventloop;
