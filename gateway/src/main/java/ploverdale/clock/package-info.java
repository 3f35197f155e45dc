/**
 * Reads the clocks of this machine and relates them to the wall clock of the database servers; no other package reads a
 * clock. {@link ploverdale.clock.Clock} has the time of this machine, {@link ploverdale.clock.WallClockOffset}
 * estimates the offset of the servers' wall clock, and {@link ploverdale.clock.ServerClock} converts between the two.
 * Decides nothing about a request or a server. The rules are described in docs/design.md, "Clocks". A
 * {@link ploverdale.clock.Clock} may be used on any thread, the others on the event loop only.
 */
package ploverdale.clock;
