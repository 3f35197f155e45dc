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
 * The settings of a deployment, in the format that the configuration file and the simulator's wire share: what the
 * router is started with, and what is needed to decode names and load reports. Immutable. Times are tenths of a
 * millisecond unless a name says otherwise.
 */
public final class GatewaySettings {
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 1000;
    private static final double DEFAULT_IDLE_CLOSE_MS = 10_000;
    private static final int PRIMARY_ROLE = 1; // in load reports

    private final Event.Started started;
    private final double positionZeroMs;
    private final boolean positionsInAnswers;
    private final List<String> reportFields;
    private final boolean reportsInAnswers;
    private final boolean reportsInHealthChecks;
    private final List<String> requestClasses;
    private final List<String> tenants;
    private final List<String> zones;
    private final long connectLimit;
    private final long idleLimit;

    /**
     * @param seed the seed of all random decisions
     * @throws InvalidSettingsException if a field is missing or invalid
     */
    public GatewaySettings(long seed, JsonFields fields) {
        JsonFields specifics = fields.object("specifics");
        positionZeroMs = specifics.number("positionZeroMs", 0);
        positionsInAnswers = specifics.flag("positions");
        reportFields = strings(fields.object("report"), "fields");
        String reportedBy = fields.object("report").text("via", "silent");
        reportsInAnswers = reportedBy.equals("piggyback");
        reportsInHealthChecks = reportsInAnswers || reportedBy.equals("pull");
        requestClasses = names(fields, "profiles");
        tenants = names(fields, "accounts");
        zones = strings(fields, "zones");
        JsonFields limits = fields.object("policyLimits");
        connectLimit = JsonFields.tenthsRoundedUp(limits.number("connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS));
        idleLimit = JsonFields.tenthsRoundedDown(limits.number("idleCloseMs", DEFAULT_IDLE_CLOSE_MS));
        started = started(seed, fields, specifics);
    }

    /** Returns the event with which the router is started. */
    public Event.Started started() {
        return started;
    }

    /** Returns the Unix time in milliseconds that is the origin of positions in load reports. */
    public double positionZeroMs() {
        return positionZeroMs;
    }

    /** Returns whether answers carry the server's position beside its role. */
    public boolean positionsInAnswers() {
        return positionsInAnswers;
    }

    /** Returns whether answers carry a load report. */
    public boolean reportsInAnswers() {
        return reportsInAnswers;
    }

    /** Returns whether health checks are answered with a load report. */
    public boolean reportsInHealthChecks() {
        return reportsInHealthChecks;
    }

    /** Returns the names of the values in a load report, in their order on the simulator's wire. */
    public List<String> reportFields() {
        return reportFields;
    }

    /** Returns the names of the request classes, by index. */
    public List<String> requestClasses() {
        return requestClasses;
    }

    /** Returns the names of the tenants, by index. */
    public List<String> tenants() {
        return tenants;
    }

    /** Returns the names of the zones, by number. */
    public List<String> zones() {
        return zones;
    }

    /** Returns the time within which a connection to a server must be established. */
    public long connectLimit() {
        return connectLimit;
    }

    /** Returns the time after which a server closes an idle connection. */
    public long idleLimit() {
        return idleLimit;
    }

    /**
     * Creates a load report from its values, each of which is null if it is absent.
     *
     * @param position in seconds since the origin of positions
     * @param role 1 for a primary, any other number for a replica
     * @param busy utilization of the server
     * @param zeroMs the origin of positions: a Unix time in milliseconds
     */
    public static LoadReport report(Double position, Double role, Double busy, double zeroMs) {
        return new LoadReport(
                role(role),
                position == null ? LoadReport.UNKNOWN_TIME : JsonFields.tenthsRoundedDown(zeroMs + position * 1000),
                busy == null ? Double.NaN : busy);
    }

    private static Role role(Double role) {
        if (role == null) {
            return Role.UNKNOWN;
        }
        return role.intValue() == PRIMARY_ROLE ? Role.PRIMARY : Role.REPLICA;
    }

    private static List<String> strings(JsonFields fields, String list) {
        return fields.list(list).stream().map(String::valueOf).toList();
    }

    private static List<String> names(JsonFields fields, String list) {
        List<String> names = new ArrayList<>();
        for (Object element : fields.list(list)) {
            names.add(JsonFields.of(list, element).text("name", ""));
        }
        return List.copyOf(names);
    }

    private static Event.Started started(long seed, JsonFields fields, JsonFields specifics) {
        List<RequestClass> classes = requestClasses(fields, specifics);
        List<Tenant> tenants = tenants(fields);
        ServerGuarantees guarantees = serverGuarantees(fields.object("contract"));
        Capabilities capabilities = capabilities(fields.object("policyLimits"));
        ReplicaGuarantees replicaGuarantees = replicaGuarantees(specifics);
        return new Event.Started(
                seed,
                (int) fields.integer("balancers", 1),
                classes,
                tenants,
                fields.number("overShareWorth", 1),
                guarantees,
                capabilities,
                replicaGuarantees,
                fields.text("discovery", "").equals("subscribe"),
                (int) fields.integer("selfIndex", 0));
    }

    private static List<RequestClass> requestClasses(JsonFields fields, JsonFields specifics) {
        List<Object> consistencies = specifics.list("classRead");
        List<Object> stalenessBounds = specifics.list("oldestDataMs");
        List<RequestClass> classes = new ArrayList<>();
        for (Object profile : fields.list("profiles")) {
            int index = classes.size();
            JsonFields profileFields = JsonFields.of("profiles", profile);
            long stalenessBound = stalenessBound(stalenessBounds, index);
            String consistency = index < consistencies.size() ? String.valueOf(consistencies.get(index)) : "mutate";
            classes.add(requestClass(profileFields, consistency(consistency), stalenessBound));
        }
        return classes;
    }

    private static long stalenessBound(List<Object> boundsMs, int index) {
        boolean bounded = index < boundsMs.size() && boundsMs.get(index) instanceof Number;
        return bounded ? JsonFields.tenthsRoundedDown(((Number) boundsMs.get(index)).doubleValue()) : 0;
    }

    private static RequestClass requestClass(
            JsonFields profile, RequestClass.Consistency consistency, long stalenessBound) {
        return new RequestClass(
                JsonFields.tenthsRoundedDown(profile.number("aimMs")),
                profile.number("aimStretch", 0),
                JsonFields.tenthsRoundedDown(profile.number("deadlineMs")),
                idempotence(profile.text("effect", "once")),
                scope(profile.text("dedupScope", "cell")),
                JsonFields.tenthsRoundedDown(profile.number("dedupWindowMs", 0)),
                profile.number("worth", 1),
                profile.number("lateShare", 0),
                profile.flag("stream"),
                consistency,
                stalenessBound);
    }

    private static List<Tenant> tenants(JsonFields fields) {
        List<Tenant> tenants = new ArrayList<>();
        for (Object account : fields.list("accounts")) {
            tenants.add(new Tenant(JsonFields.of("accounts", account).number("quotaPerS", 0)));
        }
        return tenants;
    }

    private static ServerGuarantees serverGuarantees(JsonFields contract) {
        return new ServerGuarantees(
                contract.number("startCapacity", 0),
                JsonFields.tenthsRoundedUp(contract.number("coldMs", 0)),
                contract.number("overloadFactor", 1),
                JsonFields.tenthsRoundedUp(contract.number("overloadForMs", 0)),
                !contract.flag("removalNotBinding"),
                JsonFields.tenthsRoundedDown(contract.number("mustAskInMs", 0)));
    }

    private static Capabilities capabilities(JsonFields limits) {
        return new Capabilities(
                (int) limits.integer("sendCap", 1),
                limits.flag("cancel"),
                limits.flag("probes"),
                limits.flag("retryAfter"),
                JsonFields.tenthsRoundedDown(limits.number("maxRetryAfterMs", 0)),
                limits.flag("peerMessages"));
    }

    private static ReplicaGuarantees replicaGuarantees(JsonFields specifics) {
        return new ReplicaGuarantees(
                stalenessCheck(specifics.text("checks", "silent")),
                JsonFields.tenthsRoundedDown(specifics.number("waitMs", 0)),
                specifics.text("tokens", "").equals("brought"));
    }

    private static RequestClass.Idempotence idempotence(String text) {
        return switch (text) {
            case "repeatable" -> RequestClass.Idempotence.IDEMPOTENT;
            case "by_key" -> RequestClass.Idempotence.WITH_IDEMPOTENCY_KEY;
            default -> RequestClass.Idempotence.NOT_IDEMPOTENT;
        };
    }

    private static RequestClass.Scope scope(String text) {
        return switch (text) {
            case "all" -> RequestClass.Scope.ALL;
            case "zone" -> RequestClass.Scope.ZONE;
            default -> RequestClass.Scope.GROUP;
        };
    }

    private static RequestClass.Consistency consistency(String text) {
        return switch (text) {
            case "strong" -> RequestClass.Consistency.FRESH;
            case "causal" -> RequestClass.Consistency.SESSION;
            case "lag_bound" -> RequestClass.Consistency.BOUNDED;
            case "eventual" -> RequestClass.Consistency.UNBOUNDED;
            default -> RequestClass.Consistency.WRITE;
        };
    }

    private static ReplicaGuarantees.StalenessCheck stalenessCheck(String text) {
        return switch (text) {
            case "bounce" -> ReplicaGuarantees.StalenessCheck.REJECTS;
            case "await" -> ReplicaGuarantees.StalenessCheck.WAITS;
            default -> ReplicaGuarantees.StalenessCheck.NONE;
        };
    }
}
