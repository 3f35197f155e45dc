/**
 * Typed ids, events, actions and settings: the interface between decisions and the sockets or the simulator that drives them. No
 * behaviour beyond dispatch; everything is immutable. Times are {@link ploverdale.model.Ticks}.
 */
package ploverdale.model;
