package ploverdale.gossip;

import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;

/**
 * What is known of one server, each part with the time at which its source learnt it, in tenths of a millisecond of this
 * instance's clock; {@link LoadReport#UNKNOWN_TIME} where nothing is known.
 *
 * <p>Words make a join-semilattice: {@link #join} takes of each part the newest, so words may come in any order, twice, or
 * not at all, and what comes out is the same picture or an older one, never a fresher one.
 *
 * @param role the part the server had in its group, told at roleAt
 * @param position a log position the server had applied at least, told at positionAt
 * @param aliveAt when it last answered anyone
 * @param silentAt when somebody last found that it does not answer
 * @param coldSince when it last began cold
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

    /** Both words in one. */
    public ServerObservation join(ServerObservation o) {
        boolean role = o.roleAt > roleAt || o.roleAt == roleAt && o.role.ordinal() > this.role.ordinal();
        return new ServerObservation(
                role ? o.role : this.role,
                Math.max(roleAt, o.roleAt),
                Math.max(position, o.position),
                Math.max(positionAt, o.positionAt),
                Math.max(aliveAt, o.aliveAt),
                Math.max(silentAt, o.silentAt),
                Math.max(coldSince, o.coldSince),
                Math.max(drainAt, o.drainAt));
    }

    /** The same without what was learnt before a time, since it proves nothing any more; a drain and a cold start stay. */
    public ServerObservation since(long time) {
        boolean role = roleAt >= time;
        boolean placed = positionAt >= time;
        return new ServerObservation(
                role ? this.role : Role.UNKNOWN,
                role ? roleAt : LoadReport.UNKNOWN_TIME,
                placed ? position : LoadReport.UNKNOWN_TIME,
                placed ? positionAt : LoadReport.UNKNOWN_TIME,
                aliveAt >= time ? aliveAt : LoadReport.UNKNOWN_TIME,
                silentAt >= time ? silentAt : LoadReport.UNKNOWN_TIME,
                coldSince,
                drainAt);
    }

    /** The same with nothing learnt after a time; for words of a clock that runs ahead. */
    public ServerObservation notAfter(long time) {
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

    /** The same with a role that is not believed left out. */
    public ServerObservation withoutRole() {
        return new ServerObservation(
                Role.UNKNOWN, LoadReport.UNKNOWN_TIME, position, positionAt, aliveAt, silentAt, coldSince, drainAt);
    }

    /** The same with no position. */
    public ServerObservation withoutPosition() {
        return new ServerObservation(
                role, roleAt, LoadReport.UNKNOWN_TIME, LoadReport.UNKNOWN_TIME, aliveAt, silentAt, coldSince, drainAt);
    }

    /** The same, its role told earlier by so much. */
    public ServerObservation withRoleOlder(long by) {
        return by == 0 || roleAt == LoadReport.UNKNOWN_TIME
                ? this
                : new ServerObservation(role, roleAt - by, position, positionAt, aliveAt, silentAt, coldSince, drainAt);
    }

    /** Whether somebody found it silent and nobody has heard of it since. */
    public boolean silent() {
        return silentAt != LoadReport.UNKNOWN_TIME && silentAt > aliveAt;
    }

    /**
     * Whether this says something that others act on and that the older word did not: who leads, that a server went
     * silent or answers again, drains or began cold.
     */
    public boolean isNewsAfter(ServerObservation older) {
        boolean leads = role == Role.PRIMARY;
        return role != Role.UNKNOWN && leads != (older.role == Role.PRIMARY) && roleAt > older.roleAt
                || silent() != older.silent() && Math.max(silentAt, aliveAt) > Math.max(older.silentAt, older.aliveAt)
                || drainAt > older.drainAt && older.drainAt == LoadReport.UNKNOWN_TIME
                || coldSince > older.coldSince + SAME_START;
    }

    private static final long SAME_START = 20_000; // tenths of a ms; each instance sees a start at its own time
}
