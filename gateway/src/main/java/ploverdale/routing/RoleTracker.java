package ploverdale.routing;

import ploverdale.model.LoadReport;
import ploverdale.model.LoadReport.Role;
import ploverdale.model.Ticks;
import ploverdale.state.ReplicaGroup;
import ploverdale.state.ReplicationStatus;
import ploverdale.state.ServerState;

/**
 * Learns roles and log positions from the reports of the servers, and from the roles which server is the primary of
 * each group. Times are {@link Ticks}.
 */
final class RoleTracker {
    /** The maximum age of a load report when it arrives. */
    static final long MAX_REPORT_AGE = Ticks.ofMillis(300);

    private final DecisionContext context;
    private final PeerGossip gossip;

    RoleTracker(DecisionContext context, PeerGossip gossip) {
        this.context = context;
        this.gossip = gossip;
    }

    /**
     * Learns from the report in an answer. Answers may be read in another order than that in which servers wrote them. The
     * position in a primary's answer is not later than that, so that an answer which was written before the server lost the
     * role does not restore it.
     *
     * @param report the report, or null if there is none
     */
    void learnAnswerReport(ServerState server, LoadReport report) {
        if (report != null) {
            learnReport(server, report, Math.min(context.now(), reportedAt(report, context.now())));
        }
    }

    /**
     * Learns from a load report, which may be outdated when it arrives. The position in a primary's report shows when
     * the report was made, so that an outdated report does not restore a role that the server has lost since.
     *
     * @param report the report, or null if there is none
     */
    void learnLoadReport(ServerState server, LoadReport report) {
        if (report != null) {
            learnReport(server, report, reportedAt(report, context.now() - MAX_REPORT_AGE));
        }
    }

    private static long reportedAt(LoadReport report, long ifUnknown) {
        boolean isDated = report.role() == Role.PRIMARY && report.position() != LoadReport.UNKNOWN_TIME;
        return isDated ? report.position() : ifUnknown;
    }

    /**
     * Learns from a report that was made at this time. The latest report of a role wins; a position never decreases.
     */
    private void learnReport(ServerState server, LoadReport report, long reportedAt) {
        server.load().recordUtilization(report.utilization());
        if (report.position() != LoadReport.UNKNOWN_TIME) {
            server.replication().recordPosition(report.position(), context.now());
            gossip.positionReported(context.now(), server.id());
        }
        learnRole(server, report.role(), reportedAt);
    }

    /** Learns a role that was reported at this time, unless a later report is known. */
    void learnRole(ServerState server, Role role, long reportedAt) {
        if (!server.replication().recordRole(role, reportedAt)) {
            return;
        }
        ReplicaGroup group = server.group();
        ServerState previous = group.primary();
        if (role == Role.PRIMARY) {
            if (replacesPrimary(previous, reportedAt)) {
                group.setPrimary(server);
            }
        } else if (previous == server) {
            group.setPrimary(null);
        }
        if (group.primary() != previous) {
            String change = group.primary() == server ? " primary " : " primary no longer ";
            context.log("group " + group.id().number() + change + server.id().value());
        }
    }

    private static boolean replacesPrimary(ServerState previous, long reportedAt) {
        if (previous == null) {
            return true;
        }
        ReplicationStatus previousStatus = previous.replication();
        return previousStatus.role() != Role.PRIMARY || previousStatus.roleReportedAt() < reportedAt;
    }
}
