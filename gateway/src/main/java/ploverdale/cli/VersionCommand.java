package ploverdale.cli;

/** Prints the version that the jar was built with. */
public final class VersionCommand implements Command {
    @Override
    public int run() {
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        System.out.println("ploverdale " + (version == null ? "unpackaged" : version));
        return 0;
    }
}
