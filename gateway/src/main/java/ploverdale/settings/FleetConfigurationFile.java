package ploverdale.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ploverdale.quota.LeaseDurations;
import ploverdale.quota.QuotaSettings;
import ploverdale.quota.SharedLimitSettings;
import ploverdale.replication.ReplicationSettings;

/**
 * Reads and validates the file that enables what gateways share ({@code serve --fleet FILE}): the quota, session
 * positions and write outcomes. All of it is off unless the command line names a file; there is no default file and no
 * environment variable for it, and a file that does not exist is an error.
 */
public final class FleetConfigurationFile {
    private static final String SOURCE = "fleet file";
    private static final long TENTHS_PER_MS = 10;
    private static final int MAX_UNITS = 60_000; // of one shared limit
    private static final int MAX_REPLICATION_WAIT_MS = 150; // a graceful shutdown leaves more time for answers
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
    private static final Set<String> SESSIONS_FIELDS = Set.of("keep_ms");
    private static final Set<String> SUBMITS_FIELDS = Set.of("window_ms", "retries_marked");
    private static final List<String> REPLICATION_FIELDS =
            List.of("copies", "wait_for_copies", "wait_ms", "ask_ms", "facts_most", "wall_clocks_apart_ms");

    private FleetConfigurationFile() {}

    /**
     * Reads and validates the file.
     *
     * @throws InvalidSettingsException if the file cannot be read, or a field is unknown or invalid
     */
    public static QuotaSettings read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException failure) {
            throw new InvalidSettingsException(SOURCE + " " + file + " cannot be read: " + failure.getMessage());
        }
        JsonFields fields = JsonFields.parse(SOURCE, text);
        fields.allowOnly(FIELDS);
        QuotaSettings settings = quotaSettings(fields);
        if (!settings.hasSharedState()) {
            throw new InvalidSettingsException(
                    SOURCE + " enables nothing: it has none of the fields tenants, sends_at_server, "
                            + "cold_sends_at_server, second_sends_per_second, probes_per_second, sessions and submits");
        }
        return settings;
    }

    private static QuotaSettings quotaSettings(JsonFields fields) {
        return new QuotaSettings(
                new SharedLimitSettings(
                        fields.flag("tenants"),
                        units(fields, "sends_at_server"),
                        units(fields, "cold_sends_at_server"),
                        (int) numberWithin(fields, "server_slots", 64, 1, 512),
                        units(fields, "second_sends_per_second"),
                        units(fields, "probes_per_second")),
                numberWithin(fields, "floor_share", 0.5, 0, 0.5),
                new LeaseDurations(
                        tenths(fields, "steward_ms", 3000, 200, 60_000),
                        tenths(fields, "loan_ms", 2000, 100, 60_000),
                        numberWithin(fields, "clocks_apart", 0.05, 0.001, 0.5)),
                numberWithin(fields, "bytes_per_second", 2000, 200, 1_000_000),
                replicationSettings(fields));
    }

    /** Returns null if neither session positions nor write outcomes are replicated. */
    private static ReplicationSettings replicationSettings(JsonFields fields) {
        if (!fields.has("sessions") && !fields.has("submits")) {
            rejectReplicationFields(fields);
            return null;
        }
        JsonFields sessions = fields.object("sessions");
        sessions.allowOnly(SESSIONS_FIELDS);
        JsonFields submits = fields.object("submits");
        submits.allowOnly(SUBMITS_FIELDS);
        Set<String> synchronousClasses = synchronousClasses(fields);
        return new ReplicationSettings(
                (int) numberWithin(fields, "copies", 3, 1, 5),
                fields.has("sessions"),
                tenths(sessions, "keep_ms", 30_000, 1000, 600_000),
                tenths(fields, "ask_ms", 40, 1, 1000),
                fields.has("submits") ? tenths(submits, "window_ms", 20_000, 100, 600_000) : 0,
                submits.flag("retries_marked"),
                synchronousClasses,
                tenths(fields, "wait_ms", 100, 1, MAX_REPLICATION_WAIT_MS),
                (int) numberWithin(fields, "facts_most", 200_000, 100, 1_000_000),
                tenths(fields, "wall_clocks_apart_ms", 100, 0, 10_000));
    }

    /** Throws if a field is present that has no effect without sessions or submits. */
    private static void rejectReplicationFields(JsonFields fields) {
        for (String field : REPLICATION_FIELDS) {
            if (fields.has(field)) {
                throw InvalidSettingsException.ofField(
                        SOURCE + ": field " + field + " requires sessions or submits",
                        SOURCE,
                        field,
                        "a value",
                        "no such field, or also one of sessions and submits");
            }
        }
    }

    /** Returns the names of the request classes whose writes wait until they are replicated. */
    private static Set<String> synchronousClasses(JsonFields fields) {
        Set<String> names = new HashSet<>();
        for (Object name : fields.list("wait_for_copies")) {
            names.add(String.valueOf(name));
        }
        return names;
    }

    /**
     * Validates the file against the settings of the gateway.
     *
     * @return the given quota settings
     * @throws InvalidSettingsException if a field is incompatible with the settings of the gateway
     */
    public static QuotaSettings requireCompatible(QuotaSettings quotaSettings, GatewaySettings gatewaySettings) {
        ReplicationSettings replication = quotaSettings.replication();
        if (replication == null) {
            return quotaSettings;
        }
        for (String name : replication.synchronousClasses()) {
            if (!gatewaySettings.requestClasses().contains(name)) {
                throw incompatible("wait_for_copies", " names an unknown request class: " + name, name, "names of request classes");
            }
        }
        if (replication.replicatesSessions()
                && gatewaySettings.started().replicaGuarantees().requestsCarryPositions()) {
            throw incompatible("sessions", " is not allowed where requests carry their sessions' positions", "a value", "no such field");
        }
        int gateways = gatewaySettings.started().gateways();
        int maxGateways = ReplicationSettings.maxGateways();
        if (gateways > maxGateways) {
            throw incompatible("copies", " is not allowed with more than " + maxGateways + " gateways", gateways, "at most " + maxGateways);
        }
        return quotaSettings;
    }

    private static InvalidSettingsException incompatible(String field, String reason, Object found, String expected) {
        String message = SOURCE + ": field " + field + reason;
        return InvalidSettingsException.ofField(message, SOURCE, field, found, expected);
    }

    private static int units(JsonFields fields, String name) {
        return (int) numberWithin(fields, name, 0, 0, MAX_UNITS);
    }

    /** Returns a duration in tenths of a millisecond; fractions of a millisecond are dropped. */
    private static long tenths(JsonFields fields, String name, double defaultMs, double minMs, double maxMs) {
        return (long) numberWithin(fields, name, defaultMs, minMs, maxMs) * TENTHS_PER_MS;
    }

    /** Returns a number, or the default if the field is absent; throws if it is not between the bounds, inclusive. */
    private static double numberWithin(JsonFields fields, String name, double defaultValue, double min, double max) {
        double value = fields.number(name, defaultValue);
        boolean within = value >= min && value <= max; // false for NaN
        if (!within) {
            throw InvalidSettingsException.outOfRange(SOURCE, name, value, min + " to " + max);
        }
        return value;
    }
}
