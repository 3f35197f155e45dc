/**
 * The commands of the command line, one class each: their options, their exit codes and their output. Decides nothing
 * about a request. Runs on the main thread, except for the signal handlers and the shutdown hook of
 * {@link ploverdale.cli.ServeCommand}.
 */
package ploverdale.cli;
