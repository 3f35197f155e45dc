/**
 * The entry point of the program, {@link ploverdale.Main}, which does nothing but parse the command line and run a
 * command.
 */
package ploverdale;
