/**
 * The conversation with the discovery agent: {@link ploverdale.net.discovery.DiscoveryClient} makes one HTTP call,
 * {@link ploverdale.net.discovery.Discovery} decides when the next one is due and hands on each endpoint list and each of
 * its updates. It keeps no list of its own and never judges a server. Everything here runs on the event loop.
 */
package ploverdale.net.discovery;
