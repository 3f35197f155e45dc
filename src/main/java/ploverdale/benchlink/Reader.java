package ploverdale.benchlink;

import java.util.ArrayList;
import java.util.List;
import ploverdale.model.CopyKeeping;
import ploverdale.model.GroupId;
import ploverdale.model.Happening;
import ploverdale.model.Happening.Ending;
import ploverdale.model.Listing;
import ploverdale.model.OpId;
import ploverdale.model.OpType;
import ploverdale.model.OpTypeId;
import ploverdale.model.Permits;
import ploverdale.model.Pledges;
import ploverdale.model.ServerId;
import ploverdale.model.SessionId;
import ploverdale.model.Telling;
import ploverdale.model.Telling.Role;
import ploverdale.model.Tenant;
import ploverdale.model.TenantId;
import ploverdale.model.ZoneId;

/** Turns one gateway's wire events into happenings. Holds what the wire needs to be read: zero and report order. */
final class Reader {
    private final double positionZeroMs;
    private final boolean positionsInNotes;
    private final int positionField;
    private final int roleField;
    private final int busyField;
    private final Happening.Started started;

    Reader(Fields boot) {
        Fields all = boot.object("profileData");
        Fields special = all.object("specifics");
        positionZeroMs = special.number("positionZeroMs", 0);
        positionsInNotes = special.mark("positions");
        List<Object> order = all.object("report").list("fields");
        positionField = order.indexOf("x0");
        roleField = order.indexOf("x1");
        busyField = order.indexOf("busy");
        started = started(boot.whole("salt", 0), all, special);
    }

    Happening.Started started() {
        return started;
    }

    private static Happening.Started started(long seed, Fields all, Fields special) {
        List<Object> needs = special.list("classRead");
        List<Object> bounds = special.list("oldestDataMs");
        List<OpType> types = new ArrayList<>();
        for (Object p : all.list("profiles")) {
            Fields f = Fields.of("profiles", p);
            int i = types.size();
            long bound = i < bounds.size() && bounds.get(i) instanceof Number n ? Fields.down(n.doubleValue()) : 0;
            types.add(new OpType(Fields.down(f.number("aimMs")), f.number("aimStretch", 0),
                    Fields.down(f.number("deadlineMs")), repeats(f.text("effect", "once")),
                    scope(f.text("dedupScope", "cell")), Fields.down(f.number("dedupWindowMs", 0)),
                    f.number("worth", 1), f.number("lateShare", 0), f.mark("stream"),
                    needs(i < needs.size() ? String.valueOf(needs.get(i)) : "mutate"), bound));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Object a : all.list("accounts")) {
            tenants.add(new Tenant(Fields.of("accounts", a).number("quotaPerS", 0)));
        }
        Fields rules = all.object("contract");
        Pledges pledges = new Pledges(rules.number("startCapacity", 0), Fields.up(rules.number("coldMs", 0)),
                rules.number("overloadFactor", 1), Fields.up(rules.number("overloadForMs", 0)),
                !rules.mark("removalNotBinding"), Fields.down(rules.number("mustAskInMs", 0)));
        Fields limits = all.object("policyLimits");
        Permits permits = new Permits((int) limits.whole("sendCap", 1), limits.mark("cancel"), limits.mark("probes"),
                limits.mark("retryAfter"), Fields.down(limits.number("maxRetryAfterMs", 0)));
        CopyKeeping copies = new CopyKeeping(checks(special.text("checks", "silent")),
                Fields.down(special.number("waitMs", 0)), special.text("tokens", "").equals("brought"));
        return new Happening.Started(seed, (int) all.whole("balancers", 1), types, tenants,
                all.number("overShareWorth", 1), pledges, permits, copies,
                all.text("discovery", "").equals("subscribe"));
    }

    private static OpType.Repeats repeats(String word) {
        return switch (word) {
            case "repeatable" -> OpType.Repeats.RETRYABLE;
            case "by_key" -> OpType.Repeats.TOKENED;
            default -> OpType.Repeats.NON_RETRYABLE;
        };
    }

    private static OpType.Scope scope(String word) {
        return switch (word) {
            case "all" -> OpType.Scope.ALL;
            case "zone" -> OpType.Scope.ZONE;
            default -> OpType.Scope.GROUP;
        };
    }

    private static OpType.Needs needs(String word) {
        return switch (word) {
            case "strong" -> OpType.Needs.FRESH;
            case "causal" -> OpType.Needs.SESSION;
            case "lag_bound" -> OpType.Needs.BOUNDED;
            case "eventual" -> OpType.Needs.UNBOUNDED;
            default -> OpType.Needs.WRITE;
        };
    }

    private static CopyKeeping.Checks checks(String word) {
        return switch (word) {
            case "bounce" -> CopyKeeping.Checks.TURNS_AWAY;
            case "await" -> CopyKeeping.Checks.WAITS;
            default -> CopyKeeping.Checks.NONE;
        };
    }

    private static Ending ending(String word) {
        return switch (word) {
            case "pass" -> Ending.ACKED;
            case "no_room" -> Ending.FULL;
            case "too_slow" -> Ending.TIMED_OUT;
            case "no_route" -> Ending.NOT_CONNECTED;
            case "cut" -> Ending.BROKEN_OFF;
            case "undone" -> Ending.CALLED_OFF;
            case "stale_send" -> Ending.NEVER_SENT;
            case "none_here" -> Ending.TURNED_AWAY;
            default -> Ending.ERRORED;
        };
    }

    /** A list's entries; the same for all gateways. */
    static List<Listing> listings(Fields ledger) {
        List<Listing> rows = new ArrayList<>();
        for (Object row : ledger.list("rows")) {
            Fields f = Fields.of("LEDGER.rows", row);
            Listing.Stage stage = switch (f.text("stageState")) {
                case "LAME" -> Listing.Stage.DRAINING;
                case "OUT" -> Listing.Stage.GONE;
                default -> Listing.Stage.IN;
            };
            rows.add(new Listing(new ServerId(f.text("server")), new GroupId((long) f.number("cell", 0)),
                    new ZoneId((int) f.whole("locality", 0)), stage, f.number("writer", 0) == 1,
                    Fields.up(f.number("bornMs", 0))));
        }
        return rows;
    }

    Happening listTold(Fields f, List<Listing> rows) {
        String how = f.text("how");
        return new Happening.ListTold(how.equals("whole") || how.equals("stale_copy"), how.equals("broken"), rows);
    }

    Happening opArrived(Fields f) {
        int type = (int) f.whole("grade");
        if (type < 0 || type >= started.opTypes().size()) {
            throw new WireFault("REQ with a field grade that names no class");
        }
        return new Happening.OpArrived(new OpId(f.text("ref")), new OpTypeId(type),
                new TenantId((int) f.whole("realm", 0)), new GroupId((long) f.number("setNo", 0)),
                f.has("connKey") ? new SessionId(f.text("connKey")) : null, Fields.down(f.number("dropDeadMs")),
                f.mark("againByClient"), Fields.down(f.number("hintMs", 0)), tokenAge(f.number("tokenAgeMs", 0)));
    }

    /** Rounded towards a younger write, which asks more of a replica; 0 stays the word for no write. */
    private static long tokenAge(double ms) {
        return ms > 0 ? Math.max(1, Fields.down(ms)) : 0;
    }

    Happening answerBegun(Fields f) {
        return new Happening.AnswerBegun(new OpId(f.text("ref")), (int) f.whole("roundNo"),
                new ServerId(f.text("server")));
    }

    Happening sendEnded(Fields f) {
        Telling note = null;
        if (f.has("progress")) {
            long told = f.whole("progress");
            long position = told >> 2;
            boolean none = position == 0 && !positionsInNotes;
            note = new Telling(role((int) (told & 3)),
                    none ? Telling.UNTOLD : Fields.down(positionZeroMs) + position * 10);
        }
        return new Happening.SendEnded(new OpId(f.text("ref")), (int) f.whole("roundNo"),
                new ServerId(f.text("server")), ending(f.text("verdict")), Fields.up(f.number("durationMs")),
                f.mark("settled"), note, report(f));
    }

    Happening probeEnded(Fields f) {
        return new Happening.ProbeEnded(new ServerId(f.text("server")), ending(f.text("verdict")), report(f));
    }

    private Telling report(Fields f) {
        List<Object> row = f.list("healthInfo");
        if (row.isEmpty()) {
            return null;
        }
        Role role = Role.UNKNOWN;
        if (roleField >= 0 && roleField < row.size() && row.get(roleField) instanceof Number n) {
            role = n.intValue() == 1 ? Role.PRIMARY : Role.REPLICA;
        }
        long position = Telling.UNTOLD;
        if (positionField >= 0 && positionField < row.size() && row.get(positionField) instanceof Number n) {
            position = Fields.down(positionZeroMs + n.doubleValue() * 1000);
        }
        boolean busy = busyField >= 0 && busyField < row.size() && row.get(busyField) instanceof Number;
        return new Telling(role, position, busy ? ((Number) row.get(busyField)).doubleValue() : Double.NaN);
    }

    private static Role role(int word) {
        return word == 1 ? Role.PRIMARY : word == 2 ? Role.REPLICA : Role.UNKNOWN;
    }
}
