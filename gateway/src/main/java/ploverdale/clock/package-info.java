/**
 * The one place that reads clocks, and the rule by which the two of them are tied: {@link ploverdale.clock.Clock} for
 * spans of time and for points in time, {@link ploverdale.clock.WallClockOffset} for what other machines date. Must
 * never decide anything about a request or a server; docs/design.md, "Clocks", has the rule in full.
 */
package ploverdale.clock;
