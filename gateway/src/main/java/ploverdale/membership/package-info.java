/**
 * Group membership by the SWIM protocol, and the packets that carry it and the protocols built on it. This package
 * decides which gateways are alive, suspected, leaving or dead, and manages their incarnations. It must not choose
 * servers, grant quota, perform I/O, or read a clock other than the times passed to it. The classes are not thread-safe
 * and are used on the event loop only.
 */
package ploverdale.membership;
