package ploverdale.benchlink;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import ploverdale.model.GroupId;
import ploverdale.model.Event;
import ploverdale.model.Event.Outcome;
import ploverdale.model.Listing;
import ploverdale.model.OpId;
import ploverdale.model.OpTypeId;
import ploverdale.model.ServerId;
import ploverdale.model.SessionId;
import ploverdale.model.Report;
import ploverdale.model.Report.Role;
import ploverdale.model.TenantId;
import ploverdale.model.ZoneId;
import ploverdale.settings.JsonFields;
import ploverdale.settings.GatewaySettings;
import ploverdale.settings.InvalidSettingsException;

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
            case "pass" -> Outcome.ACKED;
            case "no_room" -> Outcome.FULL;
            case "too_slow" -> Outcome.TIMED_OUT;
            case "no_route" -> Outcome.NOT_CONNECTED;
            case "cut" -> Outcome.BROKEN_OFF;
            case "undone" -> Outcome.CALLED_OFF;
            case "stale_send" -> Outcome.NEVER_SENT;
            case "none_here" -> Outcome.TURNED_AWAY;
            default -> Outcome.ERRORED;
        };
    }

    /** A list's entries; the same for all gateways. */
    static List<Listing> listings(JsonFields ledger) {
        List<Listing> rows = new ArrayList<>();
        for (Object row : ledger.list("rows")) {
            JsonFields f = JsonFields.of("LEDGER.rows", row);
            Listing.Stage stage = switch (f.text("stageState")) {
                case "LAME" -> Listing.Stage.DRAINING;
                case "OUT" -> Listing.Stage.GONE;
                default -> Listing.Stage.IN;
            };
            rows.add(new Listing(new ServerId(f.text("server")), new GroupId((long) f.number("cell", 0)),
                    new ZoneId((int) f.whole("locality", 0)), stage, f.number("writer", 0) == 1,
                    JsonFields.up(f.number("bornMs", 0))));
        }
        return rows;
    }

    Event listTold(JsonFields f, List<Listing> rows) {
        String how = f.text("how");
        return new Event.ListTold(how.equals("whole") || how.equals("stale_copy"), how.equals("broken"), rows);
    }

    Event opArrived(JsonFields f) {
        int type = (int) f.whole("grade");
        if (type < 0 || type >= settings.started().opTypes().size()) {
            throw new InvalidSettingsException("REQ with a field grade that names no class");
        }
        return new Event.OpArrived(new OpId(f.text("ref")), new OpTypeId(type),
                new TenantId((int) f.whole("realm", 0)), new GroupId((long) f.number("setNo", 0)),
                f.has("connKey") ? new SessionId(f.text("connKey")) : null, JsonFields.down(f.number("dropDeadMs")),
                f.mark("againByClient"), JsonFields.down(f.number("hintMs", 0)), tokenAge(f.number("tokenAgeMs", 0)));
    }

    /** Rounded towards a younger write, which asks more of a replica; 0 stays the word for no write. */
    private static long tokenAge(double ms) {
        return ms > 0 ? Math.max(1, JsonFields.down(ms)) : 0;
    }

    Event answerBegun(JsonFields f) {
        return new Event.AnswerBegun(new OpId(f.text("ref")), (int) f.whole("roundNo"),
                new ServerId(f.text("server")));
    }

    Event sendEnded(JsonFields f) {
        Report note = null;
        if (f.has("progress")) {
            long told = f.whole("progress");
            long position = told >> 2;
            boolean none = position == 0 && !settings.positionsInNotes();
            note = new Report(role((int) (told & 3)),
                    none ? Report.UNTOLD : JsonFields.down(settings.positionZeroMs()) + position * 10);
        }
        return new Event.SendEnded(new OpId(f.text("ref")), (int) f.whole("roundNo"),
                new ServerId(f.text("server")), outcome(f.text("verdict")), JsonFields.up(f.number("durationMs")),
                f.mark("settled"), note, report(f));
    }

    Event probeEnded(JsonFields f) {
        return new Event.ProbeEnded(new ServerId(f.text("server")), outcome(f.text("verdict")), report(f));
    }

    static byte[] bytes(String hex) {
        try {
            return HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException("DATAGRAM with a field body that is not hexadecimal");
        }
    }

    private Report report(JsonFields f) {
        List<Object> row = f.list("healthInfo");
        if (row.isEmpty()) {
            return null;
        }
        return GatewaySettings.report(value(row, positionField), value(row, roleField), value(row, busyField),
                settings.positionZeroMs());
    }

    private static Double value(List<Object> row, int field) {
        return field >= 0 && field < row.size() && row.get(field) instanceof Number n ? n.doubleValue() : null;
    }

    private static Role role(int word) {
        return word == 1 ? Role.PRIMARY : word == 2 ? Role.REPLICA : Role.UNKNOWN;
    }
}
