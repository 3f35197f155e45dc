/**
 * Epidemic dissemination of server observations between gateways. This package defines observations and their join, the
 * datagrams and their encoding, what is sent when and to which peer, and the trust in each peer. It must not perform
 * I/O, read a clock, return observations of a server that is not in this gateway's endpoint list, or make an
 * observation newer than it was at its source. The classes are not thread-safe and are used on the event loop only.
 */
package ploverdale.gossip;
