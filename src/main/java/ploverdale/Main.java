package ploverdale;

import java.io.IOException;
import ploverdale.benchlink.BenchLink;
import ploverdale.benchlink.WireFault;

/** The command line. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar ploverdale.jar benchlink");
            System.exit(2);
        }
        try {
            new BenchLink(System.in, System.out).run();
        } catch (WireFault | IOException e) {
            System.err.println("ploverdale: " + e.getMessage());
            System.exit(1);
        }
    }
}
