package ploverdale.gossip;

import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;

/**
 * What is known about a server. Times are those at which the source made the observation, in tenths of a millisecond of
 * this gateway's clock, or {@link LoadReport#UNKNOWN_TIME} if nothing is known.
 *
 * <p>Observations form a join-semilattice (a state-based CRDT): {@link #join} takes the newest value of each field. So
 * the order and the repetition of observations do not matter, and a lost observation can make the result older but
 * never newer.
 *
 * @param role the role of the server in its replica group
 * @param roleAt when the role was observed
 * @param position a log position up to which the server had applied the log, as wall-clock time
 * @param positionAt when the position was observed
 * @param aliveAt when the server last responded to anyone
 * @param unresponsiveAt when a gateway last found the server unresponsive
 * @param slowStartAt when the last slow start of the server began
 * @param drainingAt when the endpoint list named the server as draining
 */
public record ServerObservation(
        Role role,
        long roleAt,
        long position,
        long positionAt,
        long aliveAt,
        long unresponsiveAt,
        long slowStartAt,
        long drainingAt) {

    /** An observation in which nothing is known. */
    public static final ServerObservation NONE = new ServerObservation(
            Role.UNKNOWN,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME,
            LoadReport.UNKNOWN_TIME);

    private static final long TICKS_PER_MS = 10;
    /** Maximum age of an observation of role, position or liveness; older ones are outdated. */
    private static final long MAX_AGE = 30_000 * TICKS_PER_MS;
    /**
     * Slow starts that begin within this time of each other are the same one, since each gateway notices it at a
     * different time.
     */
    private static final long SAME_SLOW_START = 2000 * TICKS_PER_MS;

    /** Returns the observation of a role and a position, which may be unknown, by a response of the server. */
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

    /** Returns the observation with the newest value of each field. */
    public ServerObservation join(ServerObservation other) {
        boolean takesRole = other.roleAt > roleAt || other.roleAt == roleAt && other.role.ordinal() > role.ordinal();
        return new ServerObservation(
                takesRole ? other.role : role,
                Math.max(roleAt, other.roleAt),
                Math.max(position, other.position),
                Math.max(positionAt, other.positionAt),
                Math.max(aliveAt, other.aliveAt),
                Math.max(unresponsiveAt, other.unresponsiveAt),
                Math.max(slowStartAt, other.slowStartAt),
                Math.max(drainingAt, other.drainingAt));
    }

    /** Returns this observation without the fields that are outdated at a time. Draining and slow start are kept. */
    ServerObservation withoutOutdated(long now) {
        return since(now - MAX_AGE);
    }

    /** Returns this observation without the fields observed before a time. Draining and slow start are kept. */
    ServerObservation since(long time) {
        boolean hasRole = roleAt >= time;
        boolean hasPosition = positionAt >= time;
        return new ServerObservation(
                hasRole ? role : Role.UNKNOWN,
                hasRole ? roleAt : LoadReport.UNKNOWN_TIME,
                hasPosition ? position : LoadReport.UNKNOWN_TIME,
                hasPosition ? positionAt : LoadReport.UNKNOWN_TIME,
                aliveAt >= time ? aliveAt : LoadReport.UNKNOWN_TIME,
                unresponsiveAt >= time ? unresponsiveAt : LoadReport.UNKNOWN_TIME,
                slowStartAt,
                drainingAt);
    }

    /** Returns this observation with all observation times limited to a time, for a sender whose clock is ahead. */
    ServerObservation notAfter(long time) {
        return new ServerObservation(
                role,
                Math.min(roleAt, time),
                position,
                Math.min(positionAt, time),
                Math.min(aliveAt, time),
                Math.min(unresponsiveAt, time),
                Math.min(slowStartAt, time),
                Math.min(drainingAt, time));
    }

    /** Returns this observation with an unknown role. */
    ServerObservation withoutRole() {
        return new ServerObservation(
                Role.UNKNOWN,
                LoadReport.UNKNOWN_TIME,
                position,
                positionAt,
                aliveAt,
                unresponsiveAt,
                slowStartAt,
                drainingAt);
    }

    /** Returns this observation with an unknown position. */
    ServerObservation withoutPosition() {
        return new ServerObservation(
                role,
                roleAt,
                LoadReport.UNKNOWN_TIME,
                LoadReport.UNKNOWN_TIME,
                aliveAt,
                unresponsiveAt,
                slowStartAt,
                drainingAt);
    }

    /** Returns this observation with the observation time of the role moved into the past. */
    ServerObservation withRoleOlder(long by) {
        return by == 0 || roleAt == LoadReport.UNKNOWN_TIME
                ? this
                : new ServerObservation(
                        role, roleAt - by, position, positionAt, aliveAt, unresponsiveAt, slowStartAt, drainingAt);
    }

    /** Returns whether a gateway found the server unresponsive and no gateway has had a response since. */
    public boolean isUnresponsive() {
        return unresponsiveAt != LoadReport.UNKNOWN_TIME && unresponsiveAt > aliveAt;
    }

    /** Returns whether this observation has a role that was observed later than that of the other. */
    boolean isRoleNewerThan(ServerObservation other) {
        return role != Role.UNKNOWN && roleAt > other.roleAt;
    }

    /**
     * Returns whether this observation holds a change that other gateways act on: a change of the primary or of
     * liveness, or the start of draining or slow start.
     */
    boolean isSignificantChangeFrom(ServerObservation older) {
        return changesPrimary(older) || changesLiveness(older) || beginsDraining(older) || beginsSlowStart(older);
    }

    private boolean changesPrimary(ServerObservation older) {
        return isRoleNewerThan(older) && (role == Role.PRIMARY) != (older.role == Role.PRIMARY);
    }

    private boolean changesLiveness(ServerObservation older) {
        return isUnresponsive() != older.isUnresponsive()
                && Math.max(unresponsiveAt, aliveAt) > Math.max(older.unresponsiveAt, older.aliveAt);
    }

    private boolean beginsDraining(ServerObservation older) {
        return drainingAt > older.drainingAt && older.drainingAt == LoadReport.UNKNOWN_TIME;
    }

    private boolean beginsSlowStart(ServerObservation older) {
        return slowStartAt > older.slowStartAt + SAME_SLOW_START;
    }
}
