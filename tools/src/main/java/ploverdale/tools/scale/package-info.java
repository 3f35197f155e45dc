/**
 * Measures how the cost of the gateway's own classes grows with the size of the fleet, fits a growth curve to the
 * costs, and checks the curve at a size that it was not fitted to. This package must not print a figure that was
 * not measured, and must not present a prediction as a measurement.
 */
package ploverdale.tools.scale;
