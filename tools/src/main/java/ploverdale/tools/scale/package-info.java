/**
 * Measures how the cost of the gateway's real classes grows with the size of the fleet, fits a slope to it, and checks the
 * slope where it was not fitted. Must never state a figure that was not measured, or call a prediction a measurement.
 */
package ploverdale.tools.scale;
