/**
 * The one place that reads clocks, and the rule by which the two of them are tied: {@link ploverdale.clock.Clock} for
 * spans of time and for points in time, {@link ploverdale.clock.WallClockOffset} for points in time that other machines
 * report, {@link ploverdale.clock.ServerClock} for conversions between the two. Decides nothing about a request or a
 * server; docs/design.md, "Clocks", has the rule in full. A {@link ploverdale.clock.Clock} may be used on any thread,
 * the others on the event loop only.
 */
package ploverdale.clock;
