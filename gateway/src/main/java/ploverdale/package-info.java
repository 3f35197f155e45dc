/** Owns the entry point of the program, {@link ploverdale.Main}. Never does anything but read the command line. */
package ploverdale;
