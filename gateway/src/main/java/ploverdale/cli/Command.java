package ploverdale.cli;

import java.io.IOException;

/** A command of the command line; its options are read before it runs. */
public interface Command {

    /**
     * Runs to its end, which for a server is the end of the process. Called on the main thread.
     *
     * @return the exit code of the process
     * @throws IOException where it failed; the message is printed, and the exit code is 1
     */
    int run() throws IOException, InterruptedException;
}
