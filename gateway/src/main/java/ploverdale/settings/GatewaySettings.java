package ploverdale.settings;

import java.util.ArrayList;
import java.util.List;
import ploverdale.model.Capabilities;
import ploverdale.model.Event;
import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestClass;
import ploverdale.model.ServerGuarantees;
import ploverdale.model.Tenant;

/**
 * What a gateway is told at its start, read for the simulator's wire and for the real gateway alike: what the
 * module is started with, and what is needed to read names, reports and notes. Chooses nothing.
 */
public final class GatewaySettings {
    private final Event.Started started;
    private final double positionZeroMs;
    private final boolean positionsInNotes;
    private final List<String> reportFields;
    private final boolean reportsInAnswers;
    private final boolean reportsInProbes;
    private final List<String> requestClasses;
    private final List<String> tenants;
    private final List<String> zones;
    private final long connectLimit;
    private final long idleLimit;

    public GatewaySettings(long seed, JsonFields all) {
        JsonFields special = all.object("specifics");
        positionZeroMs = special.number("positionZeroMs", 0);
        positionsInNotes = special.mark("positions");
        reportFields = all.object("report").list("fields").stream()
                .map(String::valueOf)
                .toList();
        String via = all.object("report").text("via", "silent");
        reportsInAnswers = via.equals("piggyback");
        reportsInProbes = reportsInAnswers || via.equals("pull");
        requestClasses = names(all, "profiles");
        tenants = names(all, "accounts");
        zones = all.list("zones").stream().map(String::valueOf).toList();
        connectLimit = JsonFields.up(all.object("policyLimits").number("connectTimeoutMs", 1000));
        idleLimit = JsonFields.down(all.object("policyLimits").number("idleCloseMs", 10_000));
        started = started(seed, all, special);
    }

    /** What the module is started with. */
    public Event.Started started() {
        return started;
    }

    public double positionZeroMs() {
        return positionZeroMs;
    }

    public boolean positionsInNotes() {
        return positionsInNotes;
    }

    public boolean reportsInAnswers() {
        return reportsInAnswers;
    }

    public boolean reportsInProbes() {
        return reportsInProbes;
    }

    /** Names of the values in a report, in the order of the simulator's wire. */
    public List<String> reportFields() {
        return reportFields;
    }

    public List<String> requestClasses() {
        return requestClasses;
    }

    public List<String> tenants() {
        return tenants;
    }

    public List<String> zones() {
        return zones;
    }

    /** Within which a connection must be made, in tenths of a millisecond. */
    public long connectLimit() {
        return connectLimit;
    }

    /** After which a server closes an idle connection, in tenths of a millisecond. */
    public long idleLimit() {
        return idleLimit;
    }

    /** A load report, its values named; an absent one is null. Positions are counted from a zero. */
    public static LoadReport report(Double position, Double role, Double busy, double zeroMs) {
        return new LoadReport(
                role == null ? Role.UNKNOWN : role.intValue() == 1 ? Role.PRIMARY : Role.REPLICA,
                position == null ? LoadReport.UNKNOWN_TIME : JsonFields.down(zeroMs + position * 1000),
                busy == null ? Double.NaN : busy);
    }

    private static List<String> names(JsonFields all, String list) {
        List<String> names = new ArrayList<>();
        for (Object o : all.list(list)) {
            names.add(JsonFields.of(list, o).text("name", ""));
        }
        return List.copyOf(names);
    }

    private static Event.Started started(long seed, JsonFields all, JsonFields special) {
        List<Object> needs = special.list("classRead");
        List<Object> bounds = special.list("oldestDataMs");
        List<RequestClass> types = new ArrayList<>();
        for (Object p : all.list("profiles")) {
            JsonFields f = JsonFields.of("profiles", p);
            int i = types.size();
            long bound = i < bounds.size() && bounds.get(i) instanceof Number n ? JsonFields.down(n.doubleValue()) : 0;
            types.add(new RequestClass(
                    JsonFields.down(f.number("aimMs")),
                    f.number("aimStretch", 0),
                    JsonFields.down(f.number("deadlineMs")),
                    repeats(f.text("effect", "once")),
                    scope(f.text("dedupScope", "cell")),
                    JsonFields.down(f.number("dedupWindowMs", 0)),
                    f.number("worth", 1),
                    f.number("lateShare", 0),
                    f.mark("stream"),
                    needs(i < needs.size() ? String.valueOf(needs.get(i)) : "mutate"),
                    bound));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Object a : all.list("accounts")) {
            tenants.add(new Tenant(JsonFields.of("accounts", a).number("quotaPerS", 0)));
        }
        JsonFields rules = all.object("contract");
        ServerGuarantees guarantees = new ServerGuarantees(
                rules.number("startCapacity", 0),
                JsonFields.up(rules.number("coldMs", 0)),
                rules.number("overloadFactor", 1),
                JsonFields.up(rules.number("overloadForMs", 0)),
                !rules.mark("removalNotBinding"),
                JsonFields.down(rules.number("mustAskInMs", 0)));
        JsonFields limits = all.object("policyLimits");
        Capabilities capabilities = new Capabilities(
                (int) limits.whole("sendCap", 1),
                limits.mark("cancel"),
                limits.mark("probes"),
                limits.mark("retryAfter"),
                JsonFields.down(limits.number("maxRetryAfterMs", 0)),
                limits.mark("peerMessages"));
        ReplicaGuarantees copies = new ReplicaGuarantees(
                checks(special.text("checks", "silent")),
                JsonFields.down(special.number("waitMs", 0)),
                special.text("tokens", "").equals("brought"));
        return new Event.Started(
                seed,
                (int) all.whole("balancers", 1),
                types,
                tenants,
                all.number("overShareWorth", 1),
                guarantees,
                capabilities,
                copies,
                all.text("discovery", "").equals("subscribe"),
                (int) all.whole("selfIndex", 0));
    }

    private static RequestClass.Idempotence repeats(String word) {
        return switch (word) {
            case "repeatable" -> RequestClass.Idempotence.IDEMPOTENT;
            case "by_key" -> RequestClass.Idempotence.WITH_IDEMPOTENCY_KEY;
            default -> RequestClass.Idempotence.NOT_IDEMPOTENT;
        };
    }

    private static RequestClass.Scope scope(String word) {
        return switch (word) {
            case "all" -> RequestClass.Scope.ALL;
            case "zone" -> RequestClass.Scope.ZONE;
            default -> RequestClass.Scope.GROUP;
        };
    }

    private static RequestClass.Consistency needs(String word) {
        return switch (word) {
            case "strong" -> RequestClass.Consistency.FRESH;
            case "causal" -> RequestClass.Consistency.SESSION;
            case "lag_bound" -> RequestClass.Consistency.BOUNDED;
            case "eventual" -> RequestClass.Consistency.UNBOUNDED;
            default -> RequestClass.Consistency.WRITE;
        };
    }

    private static ReplicaGuarantees.StalenessCheck checks(String word) {
        return switch (word) {
            case "bounce" -> ReplicaGuarantees.StalenessCheck.TURNS_AWAY;
            case "await" -> ReplicaGuarantees.StalenessCheck.WAITS;
            default -> ReplicaGuarantees.StalenessCheck.NONE;
        };
    }
}
