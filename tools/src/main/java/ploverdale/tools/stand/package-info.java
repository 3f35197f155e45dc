/**
 * The test doubles around real gateways on loopback: database servers, service discovery, clients, and a lossy network
 * between gateways. They implement the published protocols only and must not depend on the internals of a gateway. Each
 * test double records in the ledger what it observes.
 */
package ploverdale.tools.stand;
