package ploverdale.state;

import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.Ticks;

/**
 * A server's role and log position, each with the time at which it was reported. Written by {@code RoleTracker}, and
 * where observations of peers are merged.
 */
public final class ReplicationStatus {
    /**
     * A write's commit time is rounded up to a millisecond, so a position guarantees nothing about its last
     * millisecond.
     */
    private static final long COMMIT_ROUNDING = Ticks.PER_MILLISECOND;

    private Role role = Role.UNKNOWN;
    private long roleReportedAt = LoadReport.UNKNOWN_TIME;
    private long position = LoadReport.UNKNOWN_TIME;
    private long positionReportedAt = LoadReport.UNKNOWN_TIME;
    private long misdirectedAt = LoadReport.UNKNOWN_TIME;

    /** Returns the role according to the latest report. */
    public Role role() {
        return role;
    }

    /** Returns when the role was reported. */
    public long roleReportedAt() {
        return roleReportedAt;
    }

    /** Returns the time up to which the server has certainly applied the log. */
    public long position() {
        return position;
    }

    /** Returns when the position was reported. */
    public long positionReportedAt() {
        return positionReportedAt;
    }

    /** Returns whether the data is known to be at most this old; an unknown position exceeds every bound. */
    public boolean isWithin(long stalenessBound, long now) {
        return now - position <= stalenessBound;
    }

    /** Returns whether the server has applied the log up to this position. */
    public boolean hasReached(long requiredPosition) {
        return position >= requiredPosition;
    }

    /** Returns how far the position lagged behind the time of its report, in ticks. */
    public long lagAtReport() {
        return positionReportedAt - position;
    }

    /** Returns how old the report of the position is, in ticks. */
    public long positionReportAge(long now) {
        return now - positionReportedAt;
    }

    /** Records a position that the server itself reported; positions never decrease. */
    public void recordPosition(long reported, long now) {
        position = Math.max(position, reported - COMMIT_ROUNDING);
        positionReportedAt = now;
    }

    /** Merges a position observed by a peer. */
    public void mergePosition(long observed, long observedAt) {
        position = Math.max(position, observed);
        positionReportedAt = Math.max(positionReportedAt, observedAt);
    }

    /** Forgets the position because it cannot be compared with later ones. */
    public void forgetPosition() {
        position = LoadReport.UNKNOWN_TIME;
        positionReportedAt = LoadReport.UNKNOWN_TIME;
    }

    /**
     * Records a role, unless a later report is known.
     *
     * @return whether it was recorded
     */
    public boolean recordRole(Role reported, long reportedAt) {
        if (reported == Role.UNKNOWN || reportedAt < roleReportedAt) {
            return false;
        }
        role = reported;
        roleReportedAt = reportedAt;
        return true;
    }

    /**
     * Records that the server declined a request for its role or position, or that a request is about to be sent which
     * it may decline.
     */
    public void recordMisdirected(long now) {
        misdirectedAt = now;
    }

    /** Returns how long ago the server last declined a request, in ticks. */
    public long sinceMisdirected(long now) {
        return now - misdirectedAt;
    }

    /** Returns whether the position was reported after the server last declined a request. */
    public boolean isReportedSinceMisdirected() {
        return misdirectedAt < positionReportedAt;
    }
}
