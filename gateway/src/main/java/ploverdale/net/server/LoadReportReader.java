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
 * Reads what servers report of themselves beside their answers, and dates it as service time. A report that could mislead counts as
 * none: one with a malformed value, of the future, or from before the server's first position. Each position also goes to the
 * {@link ServerClock}, which learns the servers' wall clock from it. Holds no connection and closes none. Used on the event loop only.
 */
final class LoadReportReader {
    private static final int MAX_REPORT_BYTES = 1024;
    private static final int MAX_NUMBER_CHARACTERS = 24; // as long as a double is written
    private static final double MAX_NUMBER = 1e14; // below it, milliseconds and their tenths fit into a long
    private static final int TENTHS_PER_MS = 10;

    // Names and values on the wire.
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
     * Role and position that an answer's parameters name, or null.
     *
     * @param writtenAt when the request was written
     */
    LoadReport roleAndPosition(ServerId server, Map<String, String> parameters, long writtenAt) {
        Role role = role(parameters.get(ROLE_PARAMETER));
        double positionMs = number(parameters.get(POSITION_PARAMETER));
        long position = LoadReport.UNKNOWN_TIME;
        if (!Double.isNaN(positionMs)) {
            long wallPosition = (long) Math.floor(positionMs) * TENTHS_PER_MS;
            clock.observePosition(server, wallPosition, writtenAt, role == Role.PRIMARY);
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

    /** The load report among an answer's parameters, or null; null, too, where the settings expect none there. */
    LoadReport reportInAnswer(ServerId server, Map<String, String> parameters, long writtenAt) {
        return settings.reportsInAnswers() ? parse(server, parameters.get(REPORT_PARAMETER), writtenAt) : null;
    }

    /** The load report that answers a health check, or null; null, too, where the settings expect none there. */
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
        return position == null ? report : dated(server, report, writtenAt);
    }

    private LoadReport dated(ServerId server, LoadReport report, long writtenAt) {
        // Not a present position, also of a primary: the report was made some time before it was sent.
        clock.observePosition(server, report.position(), writtenAt, false);
        if (clock.isAhead(report.position())) {
            return null;
        }
        return new LoadReport(report.role(), clock.positionToServiceTime(report.position()), report.busy());
    }

    /** The values of {@code name=number,name=number}; empty where one is malformed or negative. */
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

    /** The number, or NaN where the text is null, too long or no number of a plausible size. */
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
