package ploverdale.benchlink;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import ploverdale.model.Endpoint;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.GroupId;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.RequestClassId;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.model.SessionId;
import ploverdale.model.TenantId;
import ploverdale.model.ZoneId;
import ploverdale.settings.GatewaySettings;
import ploverdale.settings.InvalidSettingsException;
import ploverdale.settings.JsonFields;

/**
 * Decodes the simulator's events for one gateway into events of the router, according to the settings that the gateway
 * was started with. Immutable.
 */
final class WireEventReader {
    private static final int ROLE_BITS = 2; // the lowest bits of an encoded role and position
    private static final int ROLE_MASK = (1 << ROLE_BITS) - 1;
    private static final int PRIMARY_ROLE = 1;
    private static final int REPLICA_ROLE = 2;
    private static final long TENTHS_PER_MS = 10;

    private final GatewaySettings settings;
    // Indexes of the values in a load report; -1 if the value is not reported.
    private final int positionIndex;
    private final int roleIndex;
    private final int busyIndex;

    /** @param boot the wire event that starts the gateway, with its settings */
    WireEventReader(JsonFields boot) {
        settings = new GatewaySettings(boot.integer("salt", 0), boot.object("profileData"));
        positionIndex = settings.reportFields().indexOf("x0");
        roleIndex = settings.reportFields().indexOf("x1");
        busyIndex = settings.reportFields().indexOf("busy");
    }

    /** Returns the event with which the router is started. */
    Event.Started started() {
        return settings.started();
    }

    /** Decodes an endpoint list, which is the same for all gateways. */
    static List<Endpoint> endpoints(JsonFields ledger) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Object row : ledger.list("rows")) {
            endpoints.add(endpoint(JsonFields.of("LEDGER.rows", row)));
        }
        return endpoints;
    }

    private static Endpoint endpoint(JsonFields row) {
        EndpointState state = switch (row.text("stageState")) {
            case "LAME" -> EndpointState.DRAINING;
            case "OUT" -> EndpointState.GONE;
            default -> EndpointState.IN;
        };
        return new Endpoint(
                new ServerId(row.text("server")),
                new GroupId((long) row.number("cell", 0)),
                new ZoneId((int) row.integer("locality", 0)),
                state,
                row.number("writer", 0) == 1,
                JsonFields.tenthsRoundedUp(row.number("bornMs", 0)));
    }

    /** Decodes the announcement of an endpoint list, or of an update of one. */
    Event endpointUpdate(JsonFields fields, List<Endpoint> endpoints) {
        String kind = fields.text("how");
        boolean complete = kind.equals("whole") || kind.equals("stale_copy");
        return new Event.EndpointUpdate(complete, kind.equals("broken"), endpoints);
    }

    /** Decodes a client's request. */
    Event requestArrived(JsonFields fields) {
        int requestClass = (int) fields.integer("grade");
        if (requestClass < 0
                || requestClass >= settings.started().requestClasses().size()) {
            String message = "REQ: field grade is not the index of a request class";
            throw InvalidSettingsException.ofField(message, "REQ", "grade", requestClass, "the index of a request class");
        }
        return new Event.RequestArrived(
                new RequestId(fields.text("ref")),
                new RequestClassId(requestClass),
                new TenantId((int) fields.integer("realm", 0)),
                new GroupId((long) fields.number("setNo", 0)),
                fields.has("connKey") ? new SessionId(fields.text("connKey")) : null,
                JsonFields.tenthsRoundedDown(fields.number("dropDeadMs")),
                fields.flag("againByClient"),
                JsonFields.tenthsRoundedDown(fields.number("hintMs", 0)),
                tokenAge(fields.number("tokenAgeMs", 0)));
    }

    /**
     * Returns how long ago the session's last write was; 0 stands for no write. Rounded down, since a later write
     * requires more of a replica.
     */
    private static long tokenAge(double milliseconds) {
        return milliseconds > 0 ? Math.max(1, JsonFields.tenthsRoundedDown(milliseconds)) : 0;
    }

    /** Decodes the event that a server has begun to answer an attempt. */
    Event responseStarted(JsonFields fields) {
        return new Event.ResponseStarted(
                new RequestId(fields.text("ref")),
                (int) fields.integer("roundNo"),
                new ServerId(fields.text("server")));
    }

    /** Decodes the end of an attempt. */
    Event attemptEnded(JsonFields fields) {
        LoadReport answerReport = fields.has("progress") ? answerReport(fields.integer("progress")) : null;
        return new Event.AttemptEnded(
                new RequestId(fields.text("ref")),
                (int) fields.integer("roundNo"),
                new ServerId(fields.text("server")),
                outcome(fields.text("verdict")),
                JsonFields.tenthsRoundedUp(fields.number("durationMs")),
                fields.flag("settled"),
                answerReport,
                loadReport(fields));
    }

    /** Decodes the end of a health check. */
    Event healthCheckEnded(JsonFields fields) {
        return new Event.HealthCheckEnded(
                new ServerId(fields.text("server")), outcome(fields.text("verdict")), loadReport(fields));
    }

    /** Decodes the bytes of a datagram between gateways. */
    static byte[] datagram(String hexadecimal) {
        try {
            return HexFormat.of().parseHex(hexadecimal);
        } catch (IllegalArgumentException notHexadecimal) {
            String message = "DATAGRAM: field body is not hexadecimal";
            throw InvalidSettingsException.ofField(message, "DATAGRAM", "body", hexadecimal, "hexadecimal digits");
        }
    }

    private static Outcome outcome(String verdict) {
        return switch (verdict) {
            case "pass" -> Outcome.SUCCEEDED;
            case "no_room" -> Outcome.REJECTED;
            case "too_slow" -> Outcome.TIMED_OUT;
            case "no_route" -> Outcome.CONNECT_FAILED;
            case "cut" -> Outcome.CONNECTION_LOST;
            case "undone" -> Outcome.CANCELLED;
            case "stale_send" -> Outcome.NEVER_SENT;
            case "none_here" -> Outcome.MISDIRECTED;
            default -> Outcome.FAILED;
        };
    }

    /**
     * Decodes what a server reports with an answer: its role, and its position in milliseconds since the origin of
     * positions.
     */
    private LoadReport answerReport(long encoded) {
        long positionMs = encoded >> ROLE_BITS;
        boolean unknown = positionMs == 0 && !settings.positionsInAnswers();
        long origin = JsonFields.tenthsRoundedDown(settings.positionZeroMs());
        return new LoadReport(
                role((int) (encoded & ROLE_MASK)),
                unknown ? LoadReport.UNKNOWN_TIME : origin + positionMs * TENTHS_PER_MS);
    }

    private static Role role(int encoded) {
        return switch (encoded) {
            case PRIMARY_ROLE -> Role.PRIMARY;
            case REPLICA_ROLE -> Role.REPLICA;
            default -> Role.UNKNOWN;
        };
    }

    /** Returns the load report that comes with an event; null if there is none. */
    private LoadReport loadReport(JsonFields fields) {
        List<Object> values = fields.list("healthInfo");
        if (values.isEmpty()) {
            return null;
        }
        return GatewaySettings.report(
                value(values, positionIndex),
                value(values, roleIndex),
                value(values, busyIndex),
                settings.positionZeroMs());
    }

    /** Returns null if the value is absent. */
    private static Double value(List<Object> values, int index) {
        boolean present = index >= 0 && index < values.size() && values.get(index) instanceof Number;
        return present ? (Double) ((Number) values.get(index)).doubleValue() : null;
    }
}
