package ploverdale.cli;

/** The text that describes the command line. */
public final class Usage {
    /** All commands with their options. */
    public static final String TEXT = """
            usage: java -jar ploverdale.jar COMMAND
              serve [--config FILE]   one gateway; FILE, or else $EDGE_CONFIG, names its configuration
                    [--fleet FILE]    with budgets that belong to all gateways together, as FILE says
              check [--config FILE]   reads the configuration as serve does, and tells what it says
                    [--fleet FILE]    and what would be divided, and this gateway's floor
              rehearse --config FILE  a gateway between toy servers and a toy client, in this process
              toy --config FILE       toy database servers and discovery, at the addresses that FILE names
              ask --config FILE QUERY one query through the gateway at the address that FILE names
              benchlink               the decisions on the simulator's wire, on standard input and output
                    [--fleet FILE]    with budgets where gateways may talk
              version                 the version
              help                    this text""";

    private Usage() {}
}
