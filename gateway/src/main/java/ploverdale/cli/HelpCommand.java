package ploverdale.cli;

/** Prints the usage text. */
public final class HelpCommand implements Command {
    @Override
    public int run() {
        System.out.println(Usage.TEXT);
        return 0;
    }
}
