/**
 * Owns the record of a run as seen from outside the gateways: the answers to each request, each attempt, each applied write
 * and the age of the data of each answer; and the five rules that are checked against it. Must never get any of this from
 * the gateway that it checks.
 */
package ploverdale.tools.ledger;
