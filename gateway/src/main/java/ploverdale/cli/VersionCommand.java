package ploverdale.cli;

/** Prints the version in the manifest of the jar. */
public final class VersionCommand implements Command {
    @Override
    public int run() {
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        System.out.println("ploverdale " + (version == null ? "unpackaged" : version));
        return 0;
    }
}
