package ploverdale.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ploverdale.model.Endpoint;
import ploverdale.model.LoadReport;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.model.ZoneId;

/** All that this gateway holds about one database server. Times in tenths of a millisecond. */
public final class ServerState {
    public final ServerId id;
    public final ReplicaGroup group;
    public ZoneId zone;
    public Endpoint.EndpointState stage = Endpoint.EndpointState.IN;
    public boolean drainSeen;
    public long startedAt;

    public LoadReport.Role role = LoadReport.Role.UNKNOWN;
    public long roleReportedAt = LoadReport.UNKNOWN_TIME;
    public long position = LoadReport.UNKNOWN_TIME;
    public long positionReportedAt = LoadReport.UNKNOWN_TIME;
    public long misdirectedAt = LoadReport.UNKNOWN_TIME;

    public long heardAt =
            LoadReport.UNKNOWN_TIME; // by this gateway, or as good as that; put back where a probe is wanted
    public long aliveAt = LoadReport.UNKNOWN_TIME; // by any gateway
    public long silentAt = LoadReport.UNKNOWN_TIME; // the same
    public Endpoint.EndpointState listed = Endpoint.EndpointState.IN;
    public long drainReportedAt = LoadReport.UNKNOWN_TIME; // by a list, here or elsewhere
    public long connectFailedAt = LoadReport.UNKNOWN_TIME;
    public boolean refusesConnects;
    public long cutAt = LoadReport.UNKNOWN_TIME;
    public long fullAt = LoadReport.UNKNOWN_TIME;
    public long fullFor;
    public long probedAt = LoadReport.UNKNOWN_TIME;
    public boolean probeOut;
    public long respondedAt = LoadReport.UNKNOWN_TIME; // any answer to this gateway itself, to an op or a health check
    public long checkMissedAt = LoadReport.UNKNOWN_TIME; // a health check was given up after a wait
    public int inconclusiveChecks; // health checks since the last answer that told nothing
    public long inconclusiveWait; // for these, less what explains them

    public boolean silent;
    public long silentSince;
    public long returnedAt = LoadReport.UNKNOWN_TIME;
    public long retryAt;
    public long penalty;
    public int deadSigns;
    public int missedInARow;
    public double lostShare;
    public double ackedStretch = 1;
    public double failShare;
    public long coldSince = LoadReport.UNKNOWN_TIME;
    public double coldCredit;
    public long coldCreditAt = LoadReport.UNKNOWN_TIME;
    public long coldLotUntil = LoadReport.UNKNOWN_TIME; // until then one request may go there

    public final Map<RequestId, PendingRequest> out = new LinkedHashMap<>();
    public long answeredAt = LoadReport.UNKNOWN_TIME;
    public double limit;
    public double pressure;
    public double busy;
    public double stretch = 1;
    public long stretchAt;
    public double takenWork;
    public long takenWorkAt;

    public ServerState(ServerId id, ReplicaGroup group, double limit) {
        this.id = id;
        this.group = group;
        this.limit = limit;
    }

    public boolean isIn() {
        return stage == Endpoint.EndpointState.IN;
    }

    /** Heard before and not silent now. */
    public boolean isPromising() {
        return isIn() && heardAt != LoadReport.UNKNOWN_TIME && !silent;
    }

    /** Sends made since it last returned from silence; older ones may be stuck for as long as they like. */
    public List<PendingRequest> outSinceReturn() {
        return out.values().stream().filter(o -> o.sentAt >= returnedAt).toList();
    }
}
