package ploverdale.state;

import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.Ticks;

/**
 * A server's role and log position, each with the time at which it was reported. Written by {@code RoleTracker}, and by what merges
 * other gateways' observations.
 */
public final class ReplicationStatus {
    /** A write's commit time is rounded up to a millisecond, so a position proves nothing of that last millisecond. */
    private static final long COMMIT_ROUNDING = Ticks.PER_MILLISECOND;

    private Role role = Role.UNKNOWN;
    private long roleReportedAt = LoadReport.UNKNOWN_TIME;
    private long position = LoadReport.UNKNOWN_TIME;
    private long positionReportedAt = LoadReport.UNKNOWN_TIME;
    private long misdirectedAt = LoadReport.UNKNOWN_TIME;

    /** The role by the latest report. */
    public Role role() {
        return role;
    }

    /** When the role was reported. */
    public long roleReportedAt() {
        return roleReportedAt;
    }

    /** The time up to which the server has surely applied the log. */
    public long position() {
        return position;
    }

    /** When the position was reported. */
    public long positionReportedAt() {
        return positionReportedAt;
    }

    /** Whether the data is known to be at most this old; an unknown position is too old for every bound. */
    public boolean isWithin(long stalenessBound, long now) {
        return now - position <= stalenessBound;
    }

    /** Whether the server has applied the log up to this position. */
    public boolean hasReached(long requiredPosition) {
        return position >= requiredPosition;
    }

    /** How far the position lagged behind its own report. */
    public long lagAtReport() {
        return positionReportedAt - position;
    }

    /** How old the report of the position is. */
    public long positionReportAge(long now) {
        return now - positionReportedAt;
    }

    /** Takes over a position that the server itself reported; a position never goes back. */
    public void recordPosition(long reported, long now) {
        position = Math.max(position, reported - COMMIT_ROUNDING);
        positionReportedAt = now;
    }

    /** Joins a position from another gateway. */
    public void mergePosition(long observed, long observedAt) {
        position = Math.max(position, observed);
        positionReportedAt = Math.max(positionReportedAt, observedAt);
    }

    /** Forgets the position, which cannot be compared with later ones. */
    public void forgetPosition() {
        position = LoadReport.UNKNOWN_TIME;
        positionReportedAt = LoadReport.UNKNOWN_TIME;
    }

    /** Takes over a role unless a later report is known; returns whether it was taken. */
    public boolean recordRole(Role reported, long reportedAt) {
        if (reported == Role.UNKNOWN || reportedAt < roleReportedAt) {
            return false;
        }
        role = reported;
        roleReportedAt = reportedAt;
        return true;
    }

    /** The server turned a request away for its role or position, or is about to be tried in spite of it. */
    public void recordMisdirected(long now) {
        misdirectedAt = now;
    }

    /** How long ago the server last turned a request away. */
    public long sinceMisdirected(long now) {
        return now - misdirectedAt;
    }

    /** Whether the position was reported after the server last turned a request away. */
    public boolean isReportedSinceMisdirected() {
        return misdirectedAt < positionReportedAt;
    }
}
