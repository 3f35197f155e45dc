/**
 * Owns the stand-ins around real gateways on loopback: database servers, discovery, clients, the lossy way between
 * instances. Written from the published protocols. Must never know anything of a gateway's inside; what happens is told to
 * the ledger by those who see it.
 */
package ploverdale.tools.stand;
