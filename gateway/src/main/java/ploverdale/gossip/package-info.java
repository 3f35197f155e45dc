/**
 * Owns what instances tell one another of the servers: the words, how two words about a server make one, how they fit a
 * datagram, when and to whom they go, and how far each source is trusted. Must never do I/O or look at a clock, name a
 * server that its own instance was not told of, or make any word newer than it was at its source.
 */
package ploverdale.gossip;
