/**
 * Owns the commands of the command line, one class each: their options, their exit codes, and what they print. Never decides
 * anything about a request. Runs on the main thread, except for the signal handlers of {@link ploverdale.cli.ServeCommand}.
 */
package ploverdale.cli;
