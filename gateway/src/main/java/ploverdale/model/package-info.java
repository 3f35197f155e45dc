/**
 * Typed ids, events, actions and settings: the interface between the router and the event loop or simulator that drives
 * it. Has no behavior beyond the dispatch of events and actions. Everything except {@link ploverdale.model.Quota} is
 * immutable. Times are {@link ploverdale.model.Ticks}.
 */
package ploverdale.model;
