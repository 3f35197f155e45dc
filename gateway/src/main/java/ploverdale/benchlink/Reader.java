package ploverdale.benchlink;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import ploverdale.model.Endpoint;
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

/** Turns one gateway's wire events into those of the module. Holds what the wire needs to be read. */
final class Reader {
    private final GatewaySettings settings;
    private final int positionField;
    private final int roleField;
    private final int busyField;

    Reader(JsonFields boot) {
        settings = new GatewaySettings(boot.whole("salt", 0), boot.object("profileData"));
        positionField = settings.reportFields().indexOf("x0");
        roleField = settings.reportFields().indexOf("x1");
        busyField = settings.reportFields().indexOf("busy");
    }

    Event.Started started() {
        return settings.started();
    }

    private static Outcome outcome(String word) {
        return switch (word) {
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

    /** A list's entries; the same for all gateways. */
    static List<Endpoint> endpoints(JsonFields ledger) {
        List<Endpoint> rows = new ArrayList<>();
        for (Object row : ledger.list("rows")) {
            JsonFields f = JsonFields.of("LEDGER.rows", row);
            Endpoint.EndpointState stage = switch (f.text("stageState")) {
                case "LAME" -> Endpoint.EndpointState.DRAINING;
                case "OUT" -> Endpoint.EndpointState.GONE;
                default -> Endpoint.EndpointState.IN;
            };
            rows.add(new Endpoint(
                    new ServerId(f.text("server")),
                    new GroupId((long) f.number("cell", 0)),
                    new ZoneId((int) f.whole("locality", 0)),
                    stage,
                    f.number("writer", 0) == 1,
                    JsonFields.up(f.number("bornMs", 0))));
        }
        return rows;
    }

    Event listTold(JsonFields f, List<Endpoint> rows) {
        String how = f.text("how");
        return new Event.EndpointUpdate(how.equals("whole") || how.equals("stale_copy"), how.equals("broken"), rows);
    }

    Event opArrived(JsonFields f) {
        int type = (int) f.whole("grade");
        if (type < 0 || type >= settings.started().requestClasses().size()) {
            throw new InvalidSettingsException("REQ with a field grade that names no class");
        }
        return new Event.RequestArrived(
                new RequestId(f.text("ref")),
                new RequestClassId(type),
                new TenantId((int) f.whole("realm", 0)),
                new GroupId((long) f.number("setNo", 0)),
                f.has("connKey") ? new SessionId(f.text("connKey")) : null,
                JsonFields.down(f.number("dropDeadMs")),
                f.mark("againByClient"),
                JsonFields.down(f.number("hintMs", 0)),
                tokenAge(f.number("tokenAgeMs", 0)));
    }

    /** Rounded towards a younger write, which asks more of a replica; 0 stays the word for no write. */
    private static long tokenAge(double ms) {
        return ms > 0 ? Math.max(1, JsonFields.down(ms)) : 0;
    }

    Event answerBegun(JsonFields f) {
        return new Event.ResponseStarted(
                new RequestId(f.text("ref")), (int) f.whole("roundNo"), new ServerId(f.text("server")));
    }

    Event sendEnded(JsonFields f) {
        LoadReport note = null;
        if (f.has("progress")) {
            long told = f.whole("progress");
            long position = told >> 2;
            boolean none = position == 0 && !settings.positionsInNotes();
            note = new LoadReport(
                    role((int) (told & 3)),
                    none ? LoadReport.UNKNOWN_TIME : JsonFields.down(settings.positionZeroMs()) + position * 10);
        }
        return new Event.AttemptEnded(
                new RequestId(f.text("ref")),
                (int) f.whole("roundNo"),
                new ServerId(f.text("server")),
                outcome(f.text("verdict")),
                JsonFields.up(f.number("durationMs")),
                f.mark("settled"),
                note,
                report(f));
    }

    Event probeEnded(JsonFields f) {
        return new Event.HealthCheckEnded(new ServerId(f.text("server")), outcome(f.text("verdict")), report(f));
    }

    static byte[] bytes(String hex) {
        try {
            return HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException("DATAGRAM with a field body that is not hexadecimal");
        }
    }

    private LoadReport report(JsonFields f) {
        List<Object> row = f.list("healthInfo");
        if (row.isEmpty()) {
            return null;
        }
        return GatewaySettings.report(
                value(row, positionField), value(row, roleField), value(row, busyField), settings.positionZeroMs());
    }

    private static Double value(List<Object> row, int field) {
        return field >= 0 && field < row.size() && row.get(field) instanceof Number n ? n.doubleValue() : null;
    }

    private static Role role(int word) {
        return word == 1 ? Role.PRIMARY : word == 2 ? Role.REPLICA : Role.UNKNOWN;
    }
}
