/**
 * The scenarios of the test rig. Each runs real gateways among test doubles on loopback, driven by a seed, and returns
 * figures and checks. A check must not depend on absolute times, and must fail if a rule is broken.
 */
package ploverdale.tools.rig;
