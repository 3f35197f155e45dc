package ploverdale.net.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import ploverdale.clock.ServerClock;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ServerId;
import ploverdale.settings.GatewaySettings;

/**
 * Parses the roles, positions and load reports that servers send with their answers, and converts their times to
 * service time. A report with a malformed value, or with a position in the future or before the server's first
 * position, is ignored, since it could mislead the router. Passes each position to the {@link ServerClock}, which
 * estimates the servers' wall clock from it. Used on the event loop only.
 */
final class LoadReportReader {
    private static final int MAX_REPORT_BYTES = 1024;
    private static final int MAX_NUMBER_CHARACTERS = 24; // the longest decimal notation of a double
    private static final double MAX_NUMBER = 1e14; // milliseconds below it fit into a long when converted to ticks
    private static final int TICKS_PER_MS = 10;

    // Names and values on the wire
    private static final String ROLE_PARAMETER = "rank";
    private static final String PRIMARY_ROLE = "source";
    private static final String REPLICA_ROLE = "copy";
    private static final String POSITION_PARAMETER = "as_of"; // Unix milliseconds
    private static final String REPORT_PARAMETER = "vitals";
    private static final String POSITION_FIELD = "x0"; // Unix seconds
    private static final String ROLE_FIELD = "x1"; // 1: primary, 0: replica
    private static final String UTILIZATION_FIELD = "util";
    private static final String OLDER_UTILIZATION_FIELD = "busy";

    private final GatewaySettings settings;
    private final ServerClock clock;

    LoadReportReader(GatewaySettings settings, ServerClock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /**
     * Returns the role and position that an answer's parameters contain, or null if they contain neither.
     *
     * @param writtenAt service time at which the request was written
     * @param mayBeRepeat whether the request may have run before: then the position may be the commit time of that run
     */
    LoadReport roleAndPosition(ServerId server, Map<String, String> parameters, long writtenAt, boolean mayBeRepeat) {
        Role role = role(parameters.get(ROLE_PARAMETER));
        double positionMs = number(parameters.get(POSITION_PARAMETER));
        long position = LoadReport.UNKNOWN_TIME;
        if (!Double.isNaN(positionMs)) {
            long wallPosition = (long) Math.floor(positionMs) * TICKS_PER_MS;
            clock.observePosition(server, wallPosition, writtenAt, role == Role.PRIMARY && !mayBeRepeat);
            position =
                    clock.isAhead(wallPosition) ? LoadReport.UNKNOWN_TIME : clock.positionToServiceTime(wallPosition);
        }
        boolean unknown = role == Role.UNKNOWN && position == LoadReport.UNKNOWN_TIME;
        return unknown ? null : new LoadReport(role, position);
    }

    private static Role role(String name) {
        if (PRIMARY_ROLE.equals(name)) {
            return Role.PRIMARY;
        }
        return REPLICA_ROLE.equals(name) ? Role.REPLICA : Role.UNKNOWN;
    }

    /**
     * Returns the load report in an answer's parameters. Returns null if there is no valid one, or if the settings
     * expect none there.
     */
    LoadReport reportInAnswer(ServerId server, Map<String, String> parameters, long writtenAt) {
        return settings.reportsInAnswers() ? parse(server, parameters.get(REPORT_PARAMETER), writtenAt) : null;
    }

    /**
     * Returns the load report in the row that answers a health check. Returns null if there is no valid one, or if the
     * settings expect none there.
     */
    LoadReport reportInHealthCheck(ServerId server, byte[] value, long writtenAt) {
        if (!settings.reportsInHealthChecks() || value == null || value.length > MAX_REPORT_BYTES) {
            return null;
        }
        return parse(server, new String(value, UTF_8), writtenAt);
    }

    private LoadReport parse(ServerId server, String text, long writtenAt) {
        if (text == null) {
            return null;
        }
        Optional<Map<String, Double>> fields = fields(text);
        if (fields.isEmpty() || !isPlausible(fields.get())) {
            return null;
        }
        Map<String, Double> values = fields.get();
        Double position = values.get(POSITION_FIELD);
        Double utilization = values.getOrDefault(UTILIZATION_FIELD, values.get(OLDER_UTILIZATION_FIELD));
        LoadReport report = GatewaySettings.report(position, values.get(ROLE_FIELD), utilization, 0);
        return position == null ? report : withServiceTime(server, report, writtenAt);
    }

    private LoadReport withServiceTime(ServerId server, LoadReport report, long writtenAt) {
        // The position is not current, even that of a primary: the report was made some time before it was sent.
        clock.observePosition(server, report.position(), writtenAt, false);
        if (clock.isAhead(report.position())) {
            return null;
        }
        return new LoadReport(report.role(), clock.positionToServiceTime(report.position()), report.utilization());
    }

    /** Parses {@code name=number,name=number}; returns an empty result if a field is malformed or negative. */
    private static Optional<Map<String, Double>> fields(String text) {
        Map<String, Double> values = new HashMap<>();
        for (String field : text.split(",")) {
            int equals = field.indexOf('=');
            double value =
                    equals < 0 ? Double.NaN : number(field.substring(equals + 1).trim());
            if (Double.isNaN(value) || value < 0) {
                return Optional.empty();
            }
            values.put(field.substring(0, equals).trim(), value);
        }
        return Optional.of(values);
    }

    private static boolean isPlausible(Map<String, Double> values) {
        Double position = values.get(POSITION_FIELD);
        Double role = values.get(ROLE_FIELD);
        boolean positionPlausible = position == null || position > 0;
        boolean rolePlausible = role == null || role == 0 || role == 1;
        return positionPlausible && rolePlausible;
    }

    /** Parses a number; returns NaN if the text is null or too long, or is not a number of a plausible size. */
    private static double number(String text) {
        if (text == null || text.length() > MAX_NUMBER_CHARACTERS) {
            return Double.NaN;
        }
        try {
            double value = Double.parseDouble(text);
            return Math.abs(value) < MAX_NUMBER ? value : Double.NaN;
        } catch (NumberFormatException notANumber) {
            return Double.NaN;
        }
    }
}
