/**
 * Owns what gateways must not forget when one of them ends: how far each session's reads must reach, and which writes may
 * have run. Each fact is held by a few keepers; a majority of them tells it, and what nobody can vouch for counts as unknown,
 * never as nothing. It must never choose a server or send an op, do I/O, or look at a clock that it was not handed.
 */
package ploverdale.replication;
