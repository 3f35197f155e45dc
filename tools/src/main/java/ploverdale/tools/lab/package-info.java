/**
 * Runs the gateway's own membership, quota and replication classes for hundreds of gateways in simulated time,
 * without sockets, under shifting demand and under random or scheduled faults. Its results support design decisions
 * and are always labelled as simulated. This package must not contain logic of its own for membership, quotas or
 * replication.
 */
package ploverdale.tools.lab;
