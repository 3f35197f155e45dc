/**
 * Epidemic dissemination of server observations between gateways. Owns the observations and how two of them are joined, the
 * datagrams and their bytes, what is sent when and to which peer, and how far each peer is believed. Must never do I/O or
 * read a clock, name a server that is not in its own gateway's endpoint list, or make an observation newer than it was at
 * its source. All classes belong to the event loop and are not thread-safe.
 */
package ploverdale.gossip;
