/**
 * Owns the runs of gateway processes under faults: each gateway is a process of its own, there is a separate link between
 * any two parties, and a fault schedule cuts and delays links and kills, pauses and starts gateways. Must never decide
 * anything for a gateway, use addresses other than loopback, or end a process that it did not start.
 */
package ploverdale.tools.fleet;
