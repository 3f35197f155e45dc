package ploverdale.gossip;

import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;

/**
 * What is known of one server. Each field has the time at which its source observed it, in tenths of a millisecond of this
 * gateway's clock; {@link LoadReport#UNKNOWN_TIME} where nothing is known.
 *
 * <p>Observations are a join-semilattice (a state-based CRDT): {@link #join} takes the newest of each field, so observations
 * may arrive in any order, repeatedly, or not at all, and the result is the same or an older one, never a fresher one.
 *
 * @param role in its replication group
 * @param roleAt when the role was observed
 * @param position the wall-clock time of a log position that the server had applied at least
 * @param positionAt when the position was observed
 * @param aliveAt when the server last responded to anyone
 * @param silentAt when a gateway last found that it does not respond
 * @param coldSince when its last slow start began
 * @param drainAt when it was listed as draining
 */
public record ServerObservation(
        Role role,
        long roleAt,
        long position,
        long positionAt,
        long aliveAt,
        long silentAt,
        long coldSince,
        long drainAt) {

    /** Nothing known. */
    public static final ServerObservation NONE = new ServerObservation(
            Role.UNKNOWN,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME);

    private static final long MS = 10;
    /** Older observations of role, position and liveness are outdated. */
    private static final long MAX_AGE = 30_000 * MS;
    /** Slow starts that begin closer together are one: each gateway sees the beginning at its own time. */
    private static final long SAME_SLOW_START = 2000 * MS;

    /** A position with a role, of a server that has responded then; the position may be unknown. */
    static ServerObservation ofPosition(Role role, long position, long observedAt) {
        return new ServerObservation(
                role,
                observedAt,
                position,
                position == LoadReport.UNKNOWN_TIME ? LoadReport.UNKNOWN_TIME : observedAt,
                observedAt,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME);
    }

    /** The newest of each field of both. */
    public ServerObservation join(ServerObservation other) {
        boolean takesRole = other.roleAt > roleAt || other.roleAt == roleAt && other.role.ordinal() > role.ordinal();
        return new ServerObservation(
                takesRole ? other.role : role,
                Math.max(roleAt, other.roleAt),
                Math.max(position, other.position),
                Math.max(positionAt, other.positionAt),
                Math.max(aliveAt, other.aliveAt),
                Math.max(silentAt, other.silentAt),
                Math.max(coldSince, other.coldSince),
                Math.max(drainAt, other.drainAt));
    }

    /** The same without what is too old to act on; draining and slow start stay. */
    ServerObservation withoutOutdated(long now) {
        return since(now - MAX_AGE);
    }

    /** The same without what was observed before a time; draining and slow start stay. */
    ServerObservation since(long time) {
        boolean hasRole = roleAt >= time;
        boolean hasPosition = positionAt >= time;
        return new ServerObservation(
                hasRole ? role : Role.UNKNOWN,
                hasRole ? roleAt : LoadReport.UNKNOWN_TIME,
                hasPosition ? position : LoadReport.UNKNOWN_TIME,
                hasPosition ? positionAt : LoadReport.UNKNOWN_TIME,
                aliveAt >= time ? aliveAt : LoadReport.UNKNOWN_TIME,
                silentAt >= time ? silentAt : LoadReport.UNKNOWN_TIME,
                coldSince,
                drainAt);
    }

    /** The same with no field observed after a time; for a sender whose clock is ahead. */
    ServerObservation notAfter(long time) {
        return new ServerObservation(
                role,
                Math.min(roleAt, time),
                position,
                Math.min(positionAt, time),
                Math.min(aliveAt, time),
                Math.min(silentAt, time),
                Math.min(coldSince, time),
                Math.min(drainAt, time));
    }

    /** The same with the role unknown. */
    ServerObservation withoutRole() {
        return new ServerObservation(
                Role.UNKNOWN, LoadReport.UNKNOWN_TIME, position, positionAt, aliveAt, silentAt, coldSince, drainAt);
    }

    /** The same with the position unknown. */
    ServerObservation withoutPosition() {
        return new ServerObservation(
                role, roleAt, LoadReport.UNKNOWN_TIME, LoadReport.UNKNOWN_TIME, aliveAt, silentAt, coldSince, drainAt);
    }

    /** The same with its role observed earlier by so much. */
    ServerObservation withRoleOlder(long by) {
        return by == 0 || roleAt == LoadReport.UNKNOWN_TIME
                ? this
                : new ServerObservation(role, roleAt - by, position, positionAt, aliveAt, silentAt, coldSince, drainAt);
    }

    /** Whether a gateway found that the server does not respond, and none has had a response since. */
    public boolean silent() {
        return silentAt != LoadReport.UNKNOWN_TIME && silentAt > aliveAt;
    }

    /** Whether this has a role, and a later one than the other. */
    boolean isRoleNewerThan(ServerObservation other) {
        return role != Role.UNKNOWN && roleAt > other.roleAt;
    }

    /** Whether this holds a change that other gateways act on: of the primary, of liveness, a drain or a slow start. */
    boolean isSignificantChangeFrom(ServerObservation older) {
        return changesPrimary(older) || changesLiveness(older) || beginsDraining(older) || beginsSlowStart(older);
    }

    private boolean changesPrimary(ServerObservation older) {
        return isRoleNewerThan(older) && (role == Role.PRIMARY) != (older.role == Role.PRIMARY);
    }

    private boolean changesLiveness(ServerObservation older) {
        return silent() != older.silent() && Math.max(silentAt, aliveAt) > Math.max(older.silentAt, older.aliveAt);
    }

    private boolean beginsDraining(ServerObservation older) {
        return drainAt > older.drainAt && older.drainAt == LoadReport.UNKNOWN_TIME;
    }

    private boolean beginsSlowStart(ServerObservation older) {
        return coldSince > older.coldSince + SAME_SLOW_START;
    }
}
