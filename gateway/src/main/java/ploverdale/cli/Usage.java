package ploverdale.cli;

/** The usage text of the command line. */
public final class Usage {
    /** All commands with their options. */
    public static final String TEXT = """
            usage: java -jar ploverdale.jar COMMAND
              serve [--config FILE]   runs a gateway with the configuration in FILE, or else in the file that $EDGE_CONFIG names
                    [--fleet FILE]    with the limits and the state that gateways share, as FILE defines them
              check [--config FILE]   validates the configuration as serve does, and prints a summary
                    [--fleet FILE]    and the shared limits, with the units of this gateway
              rehearse --config FILE  runs a gateway between development servers and a client, in this process
              toy --config FILE       runs development servers and discovery, at the addresses in FILE
              ask --config FILE QUERY sends one query to the gateway at the address in FILE
              benchlink               runs simulated gateways, connected to the simulator by standard input and output
                    [--fleet FILE]    with shared limits, if the gateways may exchange messages
              version                 prints the version
              help                    prints this text""";

    private Usage() {}
}
