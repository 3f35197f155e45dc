/**
 * Owns the scenarios: each plays real gateways among stand-ins on loopback, by a seed, and gives its figures and checks.
 * Must never judge by absolute times, or let a broken rule pass.
 */
package ploverdale.tools.rig;
