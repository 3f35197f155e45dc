package ploverdale.tools.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ploverdale.tools.fleet.GatewayProcess.Launch;

/** Real gateways as processes, short days. */
@Timeout(180)
class FleetTest {
    private static FleetResult play(String day) throws Exception {
        FaultSchedule d = FaultSchedule.read(day);
        return Fleet.play(d, Workload.even(Launch.found(List.of()), d.gateways(), 40));
    }

    private static String all(FleetResult s) {
        return s.day().text() + String.join("\n", s.log());
    }

    @Test
    void killsStopsRestartsAndCutWaysBreakNoRule() throws Exception {
        FleetResult s = play("""
                day seed=5 gateways=3 lasts=9000
                500 kill n0
                900 way n1 s-second SILENT
                1000 stop n2
                1500 start n0
                1800 way n1 s-second OPEN
                2200 go_on n2
                2600 leave n1
                3200 way n0 s-morning reset
                3600 start n1
                """);
        assertThat(s.broken()).as(() -> all(s)).isEmpty();
        assertThat(s.startsMs()).as(() -> all(s)).hasSize(5);
        assertThat(s.writesAcked()).as(() -> all(s)).isGreaterThan(s.writesAsked() / 3);
    }

    @Test
    void aSlowWayFromItsClientsIsNotAGatewaysFault() throws Exception {
        FleetResult s = play("""
                day seed=6 gateways=2 lasts=2500
                500 way n0 clients delay:2000
                """);
        assertThat(s.broken()).isEmpty();
        assertThat(s.readsAcked()).as(() -> all(s)).isLessThan(s.readsAsked());
    }

    @Test
    void aGatewayIsOneProcessOverIpv4ThatStartsNoOther() throws Exception {
        Path file = Files.createTempFile("gateway", ".json");
        List<String> log = new java.util.concurrent.CopyOnWriteArrayList<>();
        GatewayProcess g = new GatewayProcess("n0", Launch.found(List.of()), (who, line) -> log.add(line));
        int port;
        try (java.net.ServerSocket free = new java.net.ServerSocket(0)) {
            port = free.getLocalPort();
        }
        g.start(new ploverdale.tools.stand.GatewayConfiguration(
                                0,
                                "127.0.0.1:" + port,
                                List.of("127.0.0.1:1"),
                                false,
                                port,
                                "{\"revision\":1,\"complete\":true," + "\"members\":[]}",
                                7,
                                500)
                        .json())
                .get(60, java.util.concurrent.TimeUnit.SECONDS);
        try {
            assertThat(ProcessHandle.of(g.pid()).orElseThrow().children()).isEmpty();
            List<String> six = sockets("tcp6");
            six.addAll(sockets("udp6"));
            assertThat(descriptors(g.pid()))
                    .as(() -> String.join("\n", log))
                    .isNotEmpty()
                    .doesNotContainAnyElementsOf(six)
                    .noneMatch(d -> d.contains("io_uring") || d.contains("deleted"));
            assertThat(Files.readString(Path.of("/proc/" + g.pid() + "/maps")))
                    .contains("libc.so")
                    .doesNotContain("libnetty");
        } finally {
            g.kill().get();
            Files.delete(file);
        }
    }

    private static List<String> sockets(String kind) throws IOException {
        List<String> inodes = new java.util.ArrayList<>();
        Path table = Path.of("/proc/net/" + kind);
        for (String l : Files.exists(table) ? Files.readAllLines(table) : List.<String>of()) {
            String[] words = l.strip().split("\\s+");
            inodes.add("socket:[" + words[Math.min(9, words.length - 1)] + "]");
        }
        return inodes;
    }

    private static List<String> descriptors(long pid) throws IOException {
        List<String> targets = new java.util.ArrayList<>();
        try (var all = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            for (Path p : all.toList()) {
                targets.add(Files.readSymbolicLink(p).toString());
            }
        }
        return targets;
    }
}
