package ploverdale.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ploverdale.quota.LeaseDurations;
import ploverdale.quota.QuotaSettings;
import ploverdale.replication.ReplicationSettings;

/**
 * Owns the reading and checking of the file that switches the fleet's parts on ({@code serve --fleet FILE}). Without it
 * nothing of them exists. Must never be found by itself: no default, environment or missing file stands for it.
 */
public final class FleetConfigurationFile {
    private static final long MS = 10;
    private static final int WHOLE_MOST = 60_000;
    private static final Set<String> FIELDS = Set.of(
            "tenants",
            "sends_at_server",
            "cold_sends_at_server",
            "server_slots",
            "second_sends_per_second",
            "probes_per_second",
            "floor_share",
            "loan_ms",
            "steward_ms",
            "clocks_apart",
            "bytes_per_second",
            "copies",
            "sessions",
            "submits",
            "wait_for_copies",
            "wait_ms",
            "ask_ms",
            "facts_most",
            "wall_clocks_apart_ms");
    private static final Set<String> OF_SESSIONS = Set.of("keep_ms");
    private static final Set<String> OF_SUBMITS = Set.of("window_ms", "retries_marked");
    private static final int LONGEST_WAIT_MS = 150; // less than what a planned restart spares for answers

    private FleetConfigurationFile() {}

    /** Reads the file; a mistake is named by its field. */
    public static QuotaSettings read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new InvalidSettingsException("fleet file " + file + " cannot be read: " + e.getMessage());
        }
        JsonFields f = JsonFields.of("fleet file", ConfigurationFile.json(text, "fleet file"));
        f.only(FIELDS);
        QuotaSettings s = new QuotaSettings(
                f.mark("tenants"),
                parts(f, "sends_at_server"),
                parts(f, "cold_sends_at_server"),
                (int) within(f, "server_slots", 64, 1, 512),
                parts(f, "second_sends_per_second"),
                parts(f, "probes_per_second"),
                within(f, "floor_share", 0.5, 0, 0.5),
                new LeaseDurations(
                        (long) within(f, "steward_ms", 3000, 200, 60_000) * MS,
                        (long) within(f, "loan_ms", 2000, 100, 60_000) * MS,
                        within(f, "clocks_apart", 0.05, 0.001, 0.5)),
                within(f, "bytes_per_second", 2000, 200, 1_000_000),
                keeping(f));
        if (!s.any()) {
            throw new InvalidSettingsException(
                    "fleet file with nothing to divide or keep: none of the fields tenants, sends_at_server, "
                            + "cold_sends_at_server, second_sends_per_second, probes_per_second, sessions and submits");
        }
        return s;
    }

    /** What is kept together, or null where neither sessions nor submits are. */
    private static ReplicationSettings keeping(JsonFields f) {
        if (!f.has("sessions") && !f.has("submits")) {
            for (String only :
                    List.of("copies", "wait_for_copies", "wait_ms", "ask_ms", "facts_most", "wall_clocks_apart_ms")) {
                if (f.has(only)) {
                    throw new InvalidSettingsException(
                            "fleet file with a field " + only + " and neither sessions nor submits");
                }
            }
            return null;
        }
        JsonFields sessions = f.object("sessions");
        sessions.only(OF_SESSIONS);
        JsonFields submits = f.object("submits");
        submits.only(OF_SUBMITS);
        Set<String> waits = new HashSet<>();
        for (Object name : f.list("wait_for_copies")) {
            waits.add(String.valueOf(name));
        }
        return new ReplicationSettings(
                (int) within(f, "copies", 3, 1, 5),
                f.has("sessions"),
                (long) within(sessions, "keep_ms", 30_000, 1000, 600_000) * MS,
                (long) within(f, "ask_ms", 40, 1, 1000) * MS,
                f.has("submits") ? (long) within(submits, "window_ms", 20_000, 100, 600_000) * MS : 0,
                submits.mark("retries_marked"),
                waits,
                (long) within(f, "wait_ms", 100, 1, LONGEST_WAIT_MS) * MS,
                (int) within(f, "facts_most", 200_000, 100, 1_000_000),
                (long) within(f, "wall_clocks_apart_ms", 100, 0, 10_000) * MS);
    }

    /** Whether the file fits what the gateway is told; a field that does not is named. */
    public static QuotaSettings fits(QuotaSettings s, GatewaySettings told) {
        if (s.keeping() != null) {
            for (String name : s.keeping().waits()) {
                if (!told.requestClasses().contains(name)) {
                    throw new InvalidSettingsException(
                            "fleet file with a field wait_for_copies that names no op type: " + name);
                }
            }
            if (s.keeping().sessions() && told.started().copies().tokensCarried()) {
                throw new InvalidSettingsException(
                        "fleet file with a field sessions where clients bring their sessions' positions");
            }
            if (told.started().gateways() > ReplicationSettings.gatewaysMost()) {
                throw new InvalidSettingsException(
                        "fleet file with a field copies for over " + ReplicationSettings.gatewaysMost() + " gateways");
            }
        }
        return s;
    }

    private static int parts(JsonFields f, String name) {
        return (int) within(f, name, 0, 0, WHOLE_MOST);
    }

    private static double within(JsonFields f, String name, double absent, double least, double most) {
        double v = f.number(name, absent);
        if (!(v >= least && v <= most)) {
            throw new InvalidSettingsException("fleet file with a field " + name + " out of range: " + v);
        }
        return v;
    }
}
