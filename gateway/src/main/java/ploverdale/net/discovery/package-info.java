/**
 * Follows the endpoint list of the discovery agent: {@link ploverdale.net.discovery.DiscoveryClient} makes HTTP calls,
 * and {@link ploverdale.net.discovery.Discovery} decides when to make the next one and passes each endpoint list and
 * update to its listener. The package keeps no list and makes no decision about a server. Everything runs on the event
 * loop.
 */
package ploverdale.net.discovery;
