package ploverdale.tools.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import ploverdale.tools.fleet.GatewayProcess.Launch;

/** Runs short fault schedules with real gateway processes. */
@Timeout(180)
class FleetTest {
    private static FleetResult run(String text) throws Exception {
        FaultSchedule schedule = FaultSchedule.read(text);
        return Fleet.run(schedule, Workload.even(Launch.locate(List.of()), schedule.gateways(), 40));
    }

    private static String details(FleetResult result) {
        return result.schedule().text() + String.join("\n", result.log());
    }

    @Test
    void killsPausesRestartsAndCutLinksBreakNoRule() throws Exception {
        FleetResult result = run("""
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
        assertThat(result.broken()).as(() -> details(result)).isEmpty();
        assertThat(result.startDurationsMs()).as(() -> details(result)).hasSize(5);
        assertThat(result.writesSucceeded()).as(() -> details(result)).isGreaterThan(result.writesSent() / 3);
    }

    @Test
    void aSlowLinkToItsClientsIsNotCountedAgainstAGateway() throws Exception {
        FleetResult result = run("""
                day seed=6 gateways=2 lasts=2500
                500 way n0 clients delay:2000
                """);
        assertThat(result.broken()).isEmpty();
        assertThat(result.readsSucceeded()).as(() -> details(result)).isLessThan(result.readsSent());
    }

    @Test
    void aGatewayUsesOnlyIpv4AndNoNativeTransportAndStartsNoProcess() throws Exception {
        Path file = Files.createTempFile("gateway", ".json");
        List<String> log = new java.util.concurrent.CopyOnWriteArrayList<>();
        GatewayProcess gateway = new GatewayProcess("n0", Launch.locate(List.of()), (who, line) -> log.add(line));
        int port;
        try (java.net.ServerSocket free = new java.net.ServerSocket(0)) {
            port = free.getLocalPort();
        }
        gateway.start(new ploverdale.tools.stand.GatewayConfiguration(
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
            assertThat(ProcessHandle.of(gateway.pid()).orElseThrow().children()).isEmpty();
            List<String> ipv6Sockets = sockets("tcp6");
            ipv6Sockets.addAll(sockets("udp6"));
            assertThat(descriptors(gateway.pid()))
                    .as(() -> String.join("\n", log))
                    .isNotEmpty()
                    .doesNotContainAnyElementsOf(ipv6Sockets)
                    .noneMatch(target -> target.contains("io_uring") || target.contains("deleted"));
            assertThat(Files.readString(Path.of("/proc/" + gateway.pid() + "/maps")))
                    .contains("libc.so")
                    .doesNotContain("libnetty");
        } finally {
            gateway.kill().get();
            Files.delete(file);
        }
    }

    private static List<String> sockets(String kind) throws IOException {
        List<String> inodes = new java.util.ArrayList<>();
        Path table = Path.of("/proc/net/" + kind);
        for (String line : Files.exists(table) ? Files.readAllLines(table) : List.<String>of()) {
            String[] words = line.strip().split("\\s+");
            inodes.add("socket:[" + words[Math.min(9, words.length - 1)] + "]");
        }
        return inodes;
    }

    private static List<String> descriptors(long pid) throws IOException {
        List<String> targets = new java.util.ArrayList<>();
        try (var links = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            for (Path link : links.toList()) {
                targets.add(Files.readSymbolicLink(link).toString());
            }
        }
        return targets;
    }
}
