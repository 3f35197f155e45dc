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

/** The command line of the tools. Exit codes: 0 all checks passed, 1 a check failed, 2 invalid arguments. */
public final class Main {
    private static final String USAGE = """
            usage: java -jar ploverdale-tools.jar rig list
                   java -jar ploverdale-tools.jar rig NAME [--seed N] [--seeds N] [--at-a-time N] [--json]
              runs a scenario with real gateways among test doubles on loopback, and prints one line per check
                   java -jar ploverdale-tools.jar lab sweep [--sizes 16,128,512] [--seed N] [--seeds N] [--loss SHARE] [--out FILE]
              simulates fleets of these sizes, and writes one CSV row for each
                   java -jar ploverdale-tools.jar lab plot --out FILE.png FILE
              plots the rows of a sweep
                   java -jar ploverdale-tools.jar lab explore [--every N]
              explores the bounded model with each single fault and with every N-th pair of faults
                   java -jar ploverdale-tools.jar lab replicas [--seed N] [--seeds N]
              simulates replication under random faults, and prints which promises to clients were broken
                   java -jar ploverdale-tools.jar lab copies [--sizes 2,10,100] [--facts N] [--out FILE]
              simulates a gateway that was partitioned and catches up, when 10, 1,000 or all of its entries differ
                   java -jar ploverdale-tools.jar scale router [--sizes 100,200,400,800,1600] [--reads N] [--zone-lost] [--seed N] [--out FILE]
              measures the decision module with these numbers of servers, fits slopes, predicts the costs at twice the largest size and measures there
                   java -jar ploverdale-tools.jar scale table FILE
              prints the table of docs/CAPACITY.md from those rows""";

    @Argument(index = 0, required = true, metaVar = "rig")
    private String command;

    @Argument(index = 1, required = true, metaVar = "NAME")
    private String name;

    @Argument(index = 2, metaVar = "FILE")
    private String file;

    @Option(name = "--sizes", usage = "fleet sizes, or numbers of servers for scale")
    private String sizes = "16,128,512";

    @Option(name = "--loss", usage = "share of datagrams lost")
    private double loss = 0.05;

    @Option(name = "--out", usage = "file for the rows or the plot")
    private String out;

    @Option(name = "--every", usage = "explore every N-th pair of faults")
    private int every = 499;

    @Option(name = "--seed", usage = "the first seed")
    private long seed = 1;

    @Option(name = "--seeds", usage = "number of consecutive seeds")
    private int seeds = 3;

    @Option(name = "--at-a-time", usage = "runs at the same time")
    private int atATime = 3;

    @Option(name = "--json", usage = "print one JSON object instead of lines")
    private boolean json;

    @Option(name = "--facts", usage = "entries held by the other gateways")
    private int facts = 20_000;

    @Option(name = "--reads", usage = "reads per second at the measured gateway")
    private double reads = 50;

    @Option(name = "--zone-lost", usage = "the servers of one zone do not answer")
    private boolean zoneLost;

    private static final long LEASE_MS = 2000;
    private static final double CATCH_UP_BYTES_PER_SECOND = 400_000; // of each gateway

    private Main() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        Main main = new Main();
        try {
            new CmdLineParser(main).parseArgument(args);
            if (!List.of("rig", "lab", "scale").contains(main.command)) {
                throw new IllegalArgumentException("unknown command " + main.command);
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
            System.err.println("ploverdale-tools: unknown scale command " + name);
            System.err.println(USAGE);
            return 2;
        }
        List<Integer> serverCounts = Arrays.stream(sizes.split(","))
                .map(String::strip)
                .map(Integer::valueOf)
                .toList();
        Condition condition = zoneLost ? Condition.ZONE_LOST : Condition.SERVING;
        return RouterScale.run(condition, reads, serverCounts, seed, out == null ? null : Path.of(out), System.out)
                ? 0
                : 1;
    }

    private int lab() throws IOException {
        switch (name) {
            case "sweep" -> {
                List<String> rows = new ArrayList<>(List.of(QuotaExperiment.Result.CSV_HEADER));
                boolean holds = true;
                for (String size : sizes.split(",")) {
                    QuotaExperiment.Result found =
                            QuotaExperiment.run(Integer.parseInt(size.strip()), LEASE_MS, loss, seed, seeds);
                    holds &= found.violations() == 0;
                    rows.add(found.csvRow());
                    System.out.println(found.csvRow()); // shows the progress of a long run
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
                        "Time until leases follow the load (simulated)",
                        "ms",
                        List.of("shift_p50_ms", "shift_p99_ms", "death_p50_ms", "death_p99_ms"));
                return 0;
            }
            case "explore" -> {
                Explorer.Result result = new Explorer(
                                BoundedQuotaModel.leaseDurations(0.1), 0.1, BoundedQuotaModel.holdTime())
                        .explore(every);
                System.out.println(result.runs() + " fault combinations, "
                        + (result.firstViolation() == null ? "no rule broken" : result.firstViolation()));
                return result.firstViolation() == null ? 0 : 1;
            }
            case "replicas" -> {
                int violations = 0;
                for (long each = seed; each < seed + seeds; each++) {
                    ReplicaModel run = ReplicaExperiment.runWithRandomFaults(2 + (int) (each % 6), each);
                    violations += run.violations().size();
                    System.out.println("seed " + each + ": " + run.counts()[0] + " writes succeeded, " + run.counts()[1]
                            + " reads with known history, " + run.counts()[2] + " with unknown history, "
                            + run.violations().size() + " promises broken"
                            + (run.violations().isEmpty()
                                    ? ""
                                    : ", first " + run.violations().get(0)));
                }
                return violations == 0 ? 0 : 1;
            }
            case "copies" -> {
                List<String> rows = new ArrayList<>(List.of(ReplicaExperiment.CatchUpResult.CSV_HEADER));
                for (String size : sizes.split(",")) {
                    for (int changed : new int[] {10, 1000, facts}) {
                        rows.add(ReplicaExperiment.measureCatchUp(
                                        Integer.parseInt(size.strip()), facts, changed, CATCH_UP_BYTES_PER_SECOND, seed)
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
                System.err.println("ploverdale-tools: unknown lab command " + name);
                System.err.println(USAGE);
                return 2;
            }
        }
    }

    private int rig() throws IOException, InterruptedException {
        if (name.equals("list")) {
            Rigs.ALL.forEach((rigName, scenario) -> System.out.println(rigName + "  " + scenario.description()));
            return 0;
        }
        Rigs.Rig rig = Rigs.ALL.get(name);
        if (rig == null) {
            System.err.println("ploverdale-tools: unknown rig " + name + "; 'rig list' prints their names");
            return 2;
        }
        List<Check> checks = rig.play(seed, seeds, atATime);
        boolean holds = checks.stream().allMatch(Check::holds);
        if (json) {
            writeJson(checks, holds);
        } else {
            for (Check check : checks) {
                System.out.println((check.holds() ? "holds   " : "BROKEN  ") + check.name() + ": " + check.figures());
            }
            System.out.println(name + ", seeds " + seed + " to " + (seed + seeds - 1) + ": "
                    + (holds ? "all checks passed" : "a check failed"));
        }
        return holds ? 0 : 1;
    }

    private void writeJson(List<Check> checks, boolean holds) throws IOException {
        try (JsonGenerator generator = new JsonFactory().createGenerator(System.out)) {
            generator.writeStartObject();
            generator.writeStringField("rig", name);
            generator.writeNumberField("seed", seed);
            generator.writeNumberField("seeds", seeds);
            generator.writeBooleanField("holds", holds);
            generator.writeArrayFieldStart("checks");
            for (Check check : checks) {
                generator.writeStartObject();
                generator.writeStringField("name", check.name());
                generator.writeStringField("figures", check.figures());
                generator.writeBooleanField("holds", check.holds());
                generator.writeEndObject();
            }
            generator.writeEndArray();
            generator.writeEndObject();
        }
        System.out.println();
    }
}
