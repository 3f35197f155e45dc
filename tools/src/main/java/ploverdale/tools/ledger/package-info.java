/**
 * Owns the account of a run as seen from outside: each op's answers, each send, each applied write, the age of each
 * answer's data; and the five rules, checked on it. Must never be told anything by the gateway that it checks.
 */
package ploverdale.tools.ledger;
