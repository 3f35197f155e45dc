/**
 * Group membership by the SWIM protocol, and the packets that carry it and the protocols that build on it. Owns which
 * gateways are alive, suspected, leaving or dead, and their incarnations. Must never choose a server, grant quota, do I/O, or
 * read a clock that it was not handed. All classes belong to the event loop and are not thread-safe.
 */
package ploverdale.membership;
