package ploverdale.state;

import ploverdale.model.Endpoint;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.Event.EndpointUpdate;
import ploverdale.model.LoadReport;
import ploverdale.model.Ticks;
import ploverdale.model.ZoneId;

/**
 * Whether a server is in service, according to the endpoint list and to reports of peers. Written by
 * {@code EndpointRegistry} alone.
 *
 * <table>
 * <caption>Transitions</caption>
 * <tr><th>from</th><th>to</th><th>when</th></tr>
 * <tr><td>IN</td><td>DRAINING</td><td>the list says so, or a peer reported that its list does</td></tr>
 * <tr><td>IN, DRAINING</td><td>GONE</td><td>the list no longer names the server</td></tr>
 * <tr><td>DRAINING</td><td>IN</td><td>a newer list withdraws the drain, the server restarted, or no list confirmed the
 * report</td></tr>
 * <tr><td>GONE</td><td>IN</td><td>a newer list names the server again, or the server restarted</td></tr>
 * <tr><td>GONE</td><td>DRAINING</td><td>a list names the server again</td></tr>
 * </table>
 *
 * <p>A list is newer if its revision is higher than the highest one that named the server draining or removed since it
 * was last in service, no matter from which discovery agent either was received: agents hold copies of the same
 * registry, so the lower revision is the older copy. If a registry restarts its revisions, a server returns to service
 * by a later start time, or once the new revisions have exceeded the old ones.
 */
public final class EndpointLifecycle {
    /**
     * How long a drain reported by a peer is in force without confirmation by this gateway's own list; longer than the
     * delay of any list.
     */
    private static final long REPORTED_DRAIN_VALIDITY = Ticks.ofMillis(10_000);

    private ZoneId zone;
    private EndpointState state = EndpointState.IN;
    private EndpointState listedState = EndpointState.IN;
    /** Whether the server was draining since it was last in service. */
    private boolean drainSeen;

    private long drainReportedAt = LoadReport.UNKNOWN_TIME;
    private long startedAt;
    /** The highest revision that named the server draining or removed since it was last in service. */
    private long outOfServiceRevision = EndpointUpdate.UNKNOWN_REVISION;

    /** Returns the zone that the list names; null until a list has named one. */
    public ZoneId zone() {
        return zone;
    }

    /** Returns the state that is in force. */
    public EndpointState state() {
        return state;
    }

    /** Returns whether the server may get new requests as far as its lifecycle is concerned. */
    public boolean isActive() {
        return state == EndpointState.IN;
    }

    /** Returns whether the server is no longer listed. */
    public boolean isRemoved() {
        return state == EndpointState.GONE;
    }

    /** Returns whether the server is draining. */
    public boolean isDraining() {
        return state == EndpointState.DRAINING;
    }

    /** Returns the start time that the list names; 0 for long ago. */
    public long startedAt() {
        return startedAt;
    }

    /**
     * Returns when a list, of this gateway or of a peer, was last known to name the drain;
     * {@link LoadReport#UNKNOWN_TIME} if none does.
     */
    public long drainReportedAt() {
        return drainReportedAt;
    }

    /** Sets the zone that the list names. */
    public void placeInZone(ZoneId listedZone) {
        zone = listedZone;
    }

    /**
     * Records the state that this gateway's list names. If the list withdraws a drain that it had named, the report of
     * that drain ends as well.
     */
    public void recordListedState(EndpointState listed, long now) {
        boolean drainWasListed = listedState == EndpointState.DRAINING;
        if (listed == EndpointState.DRAINING) {
            drainReportedAt = now;
        } else if (drainWasListed) {
            drainReportedAt = LoadReport.UNKNOWN_TIME;
        }
        listedState = listed;
    }

    /**
     * Returns whether an entry would return the server to service although its list is older than the one that took the
     * server out of service.
     */
    public boolean isOutdated(Endpoint entry, long revision) {
        return state != EndpointState.IN
                && entry.state() == EndpointState.IN
                && entry.startedAt() <= startedAt
                && revision != EndpointUpdate.UNKNOWN_REVISION
                && revision <= outOfServiceRevision;
    }

    /**
     * Returns the state to enter for an entry of the list. A drain reported by a peer stays in force while this
     * gateway's list does not name it yet, unless the server has restarted.
     */
    public EndpointState stateAfter(Endpoint entry, long now) {
        boolean keepsDrain = isDrainByReportOnly(now) && entry.startedAt() <= startedAt;
        return keepsDrain ? state : entry.state();
    }

    /** Records that a peer's list named a drain at this time. */
    public void recordReportedDrain(long reportedAt) {
        drainReportedAt = reportedAt;
    }

    /** Returns whether a drain reported at this time is still in force. */
    public static boolean reportedDrainBinds(long reportedAt, long now) {
        return now - reportedAt < REPORTED_DRAIN_VALIDITY;
    }

    /** Returns whether the server is draining only by a peer's report, which no list has confirmed in time. */
    public boolean isUnconfirmedDrainOver(long now) {
        return isDraining() && listedState == EndpointState.IN && !isDrainByReportOnly(now);
    }

    /** Returns whether the server is draining only by a peer's report that is still in force. */
    private boolean isDrainByReportOnly(long now) {
        return isDraining() && listedState == EndpointState.IN && reportedDrainBinds(drainReportedAt, now);
    }

    /**
     * Changes the state.
     *
     * @param removalBinds whether a removal takes effect without a preceding drain
     * @param revision the revision of the list that names the state; unknown if none does
     * @return whether the state has changed
     */
    public boolean moveTo(EndpointState next, boolean removalBinds, long revision) {
        drainSeen = drainSeen || next == EndpointState.DRAINING;
        boolean binds = next != EndpointState.GONE || removalBinds || drainSeen;
        if (!binds) {
            return false;
        }
        outOfServiceRevision =
                next == EndpointState.IN ? EndpointUpdate.UNKNOWN_REVISION : Math.max(outOfServiceRevision, revision);
        if (state == next) {
            return false;
        }
        state = next;
        drainSeen = drainSeen && next != EndpointState.IN;
        return true;
    }

    /**
     * Records a start time from the list, if it is later than the known one.
     *
     * @return whether it is later
     */
    public boolean recordStart(long listedStart) {
        if (listedStart <= startedAt) {
            return false;
        }
        startedAt = listedStart;
        return true;
    }

    /** Replaces the start time after the offset of the servers' wall clock has changed; the server did not restart. */
    public void redateStart(long at) {
        startedAt = at;
    }
}
