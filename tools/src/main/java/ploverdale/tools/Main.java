package ploverdale.tools;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import ploverdale.tools.lab.BoundedQuotaModel;
import ploverdale.tools.lab.Explorer;
import ploverdale.tools.lab.Plot;
import ploverdale.tools.lab.QuotaExperiment;
import ploverdale.tools.lab.ReplicaExperiment;
import ploverdale.tools.lab.ReplicaModel;
import ploverdale.tools.rig.Check;
import ploverdale.tools.rig.Rigs;
import ploverdale.tools.scale.CapacityTable;
import ploverdale.tools.scale.RouterLoad.Condition;
import ploverdale.tools.scale.RouterScale;

/** The command line of the tools. Exit codes: 0 all checks hold, 1 one does not, 2 not understood. */
public final class Main {
    private static final String USAGE = """
            usage: java -jar ploverdale-tools.jar rig list
                   java -jar ploverdale-tools.jar rig NAME [--seed N] [--seeds N] [--at-a-time N] [--json]
              plays a scenario with real gateways among stand-ins on loopback, and tells a line a check
                   java -jar ploverdale-tools.jar lab sweep [--sizes 16,128,512] [--seed N] [--seeds N] [--loss SHARE] [--out FILE]
              plays fleets of these sizes in simulated time, and writes a row for each
                   java -jar ploverdale-tools.jar lab plot --out FILE.png FILE
              draws the rows
                   java -jar ploverdale-tools.jar lab explore [--every N]
              tries each fault and every so manieth pair of faults in the small world
                   java -jar ploverdale-tools.jar lab replicas [--seed N] [--seeds N]
              plays days of faults in simulated time, and tells which promises of what is kept were broken
                   java -jar ploverdale-tools.jar lab copies [--sizes 2,10,100] [--facts N] [--out FILE]
              plays one that was cut off and catches up, with 10, 1,000 and as many facts as there are that differ
                   java -jar ploverdale-tools.jar scale router [--sizes 100,200,400,800,1600] [--reads N] [--zone-lost] [--seed N] [--out FILE]
              measures the decision module among so many servers, fits slopes, predicts twice the largest size and measures there
                   java -jar ploverdale-tools.jar scale table FILE
              makes the table of docs/CAPACITY.md from those rows""";

    @Argument(index = 0, required = true, metaVar = "rig")
    private String command;

    @Argument(index = 1, required = true, metaVar = "NAME")
    private String name;

    @Argument(index = 2, metaVar = "FILE")
    private String file;

    @Option(name = "--sizes", usage = "gateways of each fleet")
    private String sizes = "16,128,512";

    @Option(name = "--loss", usage = "share of datagrams lost")
    private double loss = 0.05;

    @Option(name = "--out", usage = "where rows or the picture go")
    private String out;

    @Option(name = "--every", usage = "which pairs of faults are tried")
    private int every = 499;

    @Option(name = "--seed", usage = "the first seed")
    private long seed = 1;

    @Option(name = "--seeds", usage = "how many, one after the other")
    private int seeds = 3;

    @Option(name = "--at-a-time", usage = "runs that go beside one another")
    private int atATime = 3;

    @Option(name = "--json", usage = "one JSON object in place of lines")
    private boolean json;

    @Option(name = "--facts", usage = "facts held when one returns")
    private int facts = 20_000;

    @Option(name = "--reads", usage = "a second, at the gateway that is measured")
    private double reads = 50;

    @Option(name = "--zone-lost", usage = "the servers of one zone answer nothing")
    private boolean zoneLost;

    private static final long LOAN_MS = 2000;
    private static final double CATCH_UP_BYTES = 400_000; // a second, of each

    private Main() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        Main main = new Main();
        try {
            new CmdLineParser(main).parseArgument(args);
            if (!List.of("rig", "lab", "scale").contains(main.command)) {
                throw new IllegalArgumentException("no command " + main.command);
            }
        } catch (CmdLineException | IllegalArgumentException e) {
            System.err.println("ploverdale-tools: " + e.getMessage());
            System.err.println(USAGE);
            System.exit(2);
        }
        System.exit(main.run());
    }

    private int run() throws IOException, InterruptedException {
        return switch (command) {
            case "lab" -> lab();
            case "scale" -> scale();
            default -> rig();
        };
    }

    private int scale() throws IOException {
        if (name.equals("table")) {
            CapacityTable.of(Files.readAllLines(Path.of(file))).forEach(System.out::println);
            return 0;
        }
        if (!name.equals("router")) {
            System.err.println("ploverdale-tools: no scale " + name);
            System.err.println(USAGE);
            return 2;
        }
        List<Integer> all = Arrays.stream(sizes.split(","))
                .map(String::strip)
                .map(Integer::valueOf)
                .toList();
        Condition condition = zoneLost ? Condition.ZONE_LOST : Condition.SERVING;
        return RouterScale.run(condition, reads, all, seed, out == null ? null : Path.of(out), System.out) ? 0 : 1;
    }

    private int lab() throws IOException {
        switch (name) {
            case "sweep" -> {
                List<String> rows = new ArrayList<>(List.of(QuotaExperiment.Result.CSV_HEADER));
                boolean holds = true;
                for (String size : sizes.split(",")) {
                    QuotaExperiment.Result f =
                            QuotaExperiment.run(Integer.parseInt(size.strip()), LOAN_MS, loss, seed, seeds);
                    holds &= f.violations() == 0;
                    rows.add(f.csvRow());
                    System.out.println(f.csvRow()); // also the progress of a long run
                }
                if (out != null) {
                    Files.write(Path.of(out), rows);
                }
                return holds ? 0 : 1;
            }
            case "plot" -> {
                Plot.draw(
                        Path.of(file),
                        Path.of(out),
                        "Parts follow (simulated)",
                        "ms",
                        List.of("shift_p50_ms", "shift_p99_ms", "death_p50_ms", "death_p99_ms"));
                return 0;
            }
            case "explore" -> {
                Explorer.Result result = new Explorer(
                                BoundedQuotaModel.leaseDurations(0.1), 0.1, BoundedQuotaModel.holdTime())
                        .explore(every);
                System.out.println(result.runs() + " worlds, "
                        + (result.firstViolation() == null ? "nothing wrong" : result.firstViolation()));
                return result.firstViolation() == null ? 0 : 1;
            }
            case "replicas" -> {
                int violations = 0;
                for (long s = seed; s < seed + seeds; s++) {
                    ReplicaModel m = ReplicaExperiment.runWithRandomFaults(2 + (int) (s % 6), s);
                    violations += m.violations().size();
                    System.out.println("seed " + s + ": " + m.counts()[0] + " writes acked, " + m.counts()[1]
                            + " reads with a known past, "
                            + m.counts()[2] + " without, " + m.violations().size() + " promises broken"
                            + (m.violations().isEmpty()
                                    ? ""
                                    : ", first " + m.violations().get(0)));
                }
                return violations == 0 ? 0 : 1;
            }
            case "copies" -> {
                List<String> rows = new ArrayList<>(List.of(ReplicaExperiment.CatchUpResult.CSV_HEADER));
                for (String size : sizes.split(",")) {
                    for (int differ : new int[] {10, 1000, facts}) {
                        rows.add(ReplicaExperiment.measureCatchUp(
                                        Integer.parseInt(size.strip()), facts, differ, CATCH_UP_BYTES, seed)
                                .csvRow());
                        System.out.println(rows.get(rows.size() - 1));
                    }
                }
                if (out != null) {
                    Files.write(Path.of(out), rows);
                }
                return 0;
            }
            default -> {
                System.err.println("ploverdale-tools: no lab " + name);
                System.err.println(USAGE);
                return 2;
            }
        }
    }

    private int rig() throws IOException, InterruptedException {
        if (name.equals("list")) {
            Rigs.ALL.forEach((n, r) -> System.out.println(n + "  " + r.shows()));
            return 0;
        }
        Rigs.Rig rig = Rigs.ALL.get(name);
        if (rig == null) {
            System.err.println("ploverdale-tools: no rig " + name + "; rig list names them");
            return 2;
        }
        List<Check> checks = rig.play(seed, seeds, atATime);
        boolean holds = checks.stream().allMatch(Check::holds);
        if (json) {
            write(checks, holds);
        } else {
            for (Check c : checks) {
                System.out.println((c.holds() ? "holds   " : "BROKEN  ") + c.name() + ": " + c.figures());
            }
            System.out.println(name + ", seeds " + seed + " to " + (seed + seeds - 1) + ": "
                    + (holds ? "all checks hold" : "a check is broken"));
        }
        return holds ? 0 : 1;
    }

    private void write(List<Check> checks, boolean holds) throws IOException {
        try (JsonGenerator g = new JsonFactory().createGenerator(System.out)) {
            g.writeStartObject();
            g.writeStringField("rig", name);
            g.writeNumberField("seed", seed);
            g.writeNumberField("seeds", seeds);
            g.writeBooleanField("holds", holds);
            g.writeArrayFieldStart("checks");
            for (Check c : checks) {
                g.writeStartObject();
                g.writeStringField("name", c.name());
                g.writeStringField("figures", c.figures());
                g.writeBooleanField("holds", c.holds());
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeEndObject();
        }
        System.out.println();
    }
}
