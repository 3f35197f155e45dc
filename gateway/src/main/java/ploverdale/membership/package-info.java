/**
 * Owns what one gateway knows of the others as processes: who is alive, suspected, leaving, gone and come again under the
 * same name, and the datagrams that carry this and what stands on it. It tells facts and never acts: it must never choose a
 * server, give or take a part of a budget, do I/O, or look at a clock that it was not handed.
 */
package ploverdale.membership;
