package ploverdale.state;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ploverdale.model.Listing;
import ploverdale.model.OpId;
import ploverdale.model.ServerId;
import ploverdale.model.Report;
import ploverdale.model.ZoneId;

/** All that this gateway holds about one database server. Times in tenths of a millisecond. */
public final class Member {
    public final ServerId id;
    public final Group group;
    public ZoneId zone;
    public Listing.Stage stage = Listing.Stage.IN;
    public boolean drainSeen;
    public long startedAt;

    public Report.Role role = Report.Role.UNKNOWN;
    public long roleToldAt = Report.UNTOLD;
    public long position = Report.UNTOLD;
    public long positionToldAt = Report.UNTOLD;
    public long turnedAwayAt = Report.UNTOLD;

    public long heardAt = Report.UNTOLD; // by this gateway, or as good as that; put back where a probe is wanted
    public long aliveAt = Report.UNTOLD; // by any gateway
    public long silentAt = Report.UNTOLD; // the same
    public Listing.Stage listed = Listing.Stage.IN;
    public long drainTold = Report.UNTOLD; // by a list, here or elsewhere
    public long connectFailedAt = Report.UNTOLD;
    public boolean refusesConnects;
    public long cutAt = Report.UNTOLD;
    public long fullAt = Report.UNTOLD;
    public long fullFor;
    public long probedAt = Report.UNTOLD;
    public boolean probeOut;
    public long respondedAt = Report.UNTOLD; // any answer to this gateway itself, to an op or a health check
    public long checkMissedAt = Report.UNTOLD; // a health check was given up after a wait
    public int inconclusiveChecks; // health checks since the last answer that told nothing
    public long inconclusiveWait; // for these, less what explains them

    public boolean silent;
    public long silentSince;
    public long returnedAt = Report.UNTOLD;
    public long retryAt;
    public long penalty;
    public int deadSigns;
    public int missedInARow;
    public double lostShare;
    public double ackedStretch = 1;
    public double failShare;
    public long coldSince = Report.UNTOLD;
    public double coldCredit;
    public long coldCreditAt = Report.UNTOLD;
    public long coldLotUntil = Report.UNTOLD; // until then one request may go there

    public final Map<OpId, Op> out = new LinkedHashMap<>();
    public long answeredAt = Report.UNTOLD;
    public double limit;
    public double pressure;
    public double busy;
    public double stretch = 1;
    public long stretchAt;
    public double takenWork;
    public long takenWorkAt;

    public Member(ServerId id, Group group, double limit) {
        this.id = id;
        this.group = group;
        this.limit = limit;
    }

    public boolean isIn() {
        return stage == Listing.Stage.IN;
    }

    /** Heard before and not silent now. */
    public boolean isPromising() {
        return isIn() && heardAt != Report.UNTOLD && !silent;
    }

    /** Sends made since it last returned from silence; older ones may be stuck for as long as they like. */
    public List<Op> outSinceReturn() {
        return out.values().stream().filter(o -> o.sentAt >= returnedAt).toList();
    }
}
