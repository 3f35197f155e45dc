package ploverdale.state;

import ploverdale.model.Endpoint;
import ploverdale.model.Endpoint.EndpointState;
import ploverdale.model.Event.EndpointUpdate;
import ploverdale.model.LoadReport;
import ploverdale.model.Ticks;
import ploverdale.model.ZoneId;

/**
 * Whether a server is in service, by the endpoint list and by what other gateways reported of it. Written by
 * {@code EndpointRegistry} alone.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>from</th><th>to</th><th>when</th></tr>
 *   <tr><td>IN</td><td>DRAINING</td><td>the list says so, or another gateway reported that its list does</td></tr>
 *   <tr><td>IN, DRAINING</td><td>GONE</td><td>the list no longer names the server</td></tr>
 *   <tr><td>DRAINING</td><td>IN</td><td>a newer list takes the drain back, the server restarted, or no list confirmed the report
 *       </td></tr>
 *   <tr><td>GONE</td><td>IN</td><td>a newer list names the server again, or the server restarted</td></tr>
 *   <tr><td>GONE</td><td>DRAINING</td><td>a list names the server again</td></tr>
 * </table>
 *
 * <p>A list is newer if its revision is higher than the highest one that named the server draining or removed since it was last in
 * service, whichever agent either came from: agents hold copies of one registry, so the lower revision is the older copy. A registry
 * that begins its revisions anew brings a server back by a later start, or once its revisions have passed the former ones.
 */
public final class EndpointLifecycle {
    /** How long a drain that another gateway reported binds without the own list; longer than any list is late. */
    private static final long REPORTED_DRAIN_LASTS = Ticks.ofMillis(10_000);

    private ZoneId zone;
    private EndpointState state = EndpointState.IN;
    private EndpointState listedState = EndpointState.IN;
    private boolean drainSeen;
    private long drainReportedAt = LoadReport.UNKNOWN_TIME;
    private long startedAt;
    private long outOfServiceRevision =
            EndpointUpdate.UNKNOWN_REVISION; // the highest that named it draining or removed

    /** The zone by the list; null before the list named one. */
    public ZoneId zone() {
        return zone;
    }

    /** The state that holds now. */
    public EndpointState state() {
        return state;
    }

    /** Whether the server may get new requests as far as its lifecycle is concerned. */
    public boolean isActive() {
        return state == EndpointState.IN;
    }

    /** Whether the server is no longer listed. */
    public boolean isRemoved() {
        return state == EndpointState.GONE;
    }

    /** Whether the server is known to drain. */
    public boolean isDraining() {
        return state == EndpointState.DRAINING;
    }

    /** When the server started, by the list; 0 for long ago. */
    public long startedAt() {
        return startedAt;
    }

    /** When a list, here or at another gateway, was last known to name the drain; unknown if none does. */
    public long drainReportedAt() {
        return drainReportedAt;
    }

    /** Takes over the zone that the list names. */
    public void placeInZone(ZoneId listedZone) {
        zone = listedZone;
    }

    /** Takes over the state that the list names; the own list's withdrawal of its own drain ends the report. */
    public void recordListedState(EndpointState listed, long now) {
        boolean drainWasListed = listedState == EndpointState.DRAINING;
        if (listed == EndpointState.DRAINING) {
            drainReportedAt = now;
        } else if (drainWasListed) {
            drainReportedAt = LoadReport.UNKNOWN_TIME;
        }
        listedState = listed;
    }

    /** Whether an entry would return the server to service by a list that is older than the one that named it out of service. */
    public boolean isOutdated(Endpoint entry, long revision) {
        return state != EndpointState.IN
                && entry.state() == EndpointState.IN
                && entry.startedAt() <= startedAt
                && revision != EndpointUpdate.UNKNOWN_REVISION
                && revision <= outOfServiceRevision;
    }

    /** The state that an entry of the list puts in force: a list that does not know yet of a reported drain does not undo it. */
    public EndpointState stateAfter(Endpoint entry, long now) {
        boolean keepsDrain = isDrainByReportOnly(now) && entry.startedAt() <= startedAt;
        return keepsDrain ? state : entry.state();
    }

    /** Takes note that another gateway's list named a drain. */
    public void recordReportedDrain(long reportedAt) {
        drainReportedAt = reportedAt;
    }

    /** Whether a drain reported at this time still binds. */
    public static boolean reportedDrainBinds(long reportedAt, long now) {
        return now - reportedAt < REPORTED_DRAIN_LASTS;
    }

    /** Whether the server drains by another gateway's report that no list has confirmed in time. */
    public boolean isUnconfirmedDrainOver(long now) {
        return isDraining() && listedState == EndpointState.IN && !isDrainByReportOnly(now);
    }

    private boolean isDrainByReportOnly(long now) {
        return isDraining() && listedState == EndpointState.IN && reportedDrainBinds(drainReportedAt, now);
    }

    /**
     * Changes the state.
     *
     * @param removalBinds whether a removal without a drain before it puts the server out of service
     * @param revision of the list that names the state, if one does
     * @return whether the state is another than before
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

    /** Takes over a later start; returns whether it is one. */
    public boolean recordStart(long listedStart) {
        if (listedStart <= startedAt) {
            return false;
        }
        startedAt = listedStart;
        return true;
    }

    /** Dates the same start anew, after the offset of the servers' wall clock changed. */
    public void redateStart(long at) {
        startedAt = at;
    }
}
