/**
 * Owns budgets that belong to a fleet: their division, who may spend which parts until when, and what is spent and in use
 * here. The sum over all gateways that can still spend never exceeds the whole, whatever happens to messages, processes and
 * clocks within stated bounds; docs/budgets.md tells why. It must never choose a server or turn an op away, do I/O, look at a
 * clock that it was not handed, or spend a part on the strength of a word about who is alive.
 */
package ploverdale.quota;
