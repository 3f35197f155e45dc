package ploverdale.cli;

import java.io.IOException;

/** A command of the command line. Its options are parsed before it runs. */
public interface Command {

    /**
     * Runs the command until it is finished; a server runs until the process terminates. Called on the main thread.
     *
     * @return the exit code of the process
     * @throws IOException if the command failed; the message is printed, and the exit code of the process is 1
     */
    int run() throws IOException, InterruptedException;
}
