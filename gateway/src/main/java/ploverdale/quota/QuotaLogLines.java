package ploverdale.quota;

import java.util.List;
import ploverdale.membership.Membership;
import ploverdale.membership.PacketQueue;

/**
 * The log lines about membership and quota. Tools of operators match them, so they keep the terms of an earlier
 * version: a budget is a shared limit, its parts are units, its whole share is the entitlement, its floor is the
 * guaranteed minimum, a promise is the grant of a lease, a division is an allocation, a fleet is all gateways, a parcel
 * is a packet. Each line begins with its kind and a colon. Stateless.
 */
final class QuotaLogLines {
    private QuotaLogLines() {}

    /** @param id identifies the allocation and the replication factor */
    static String started(QuotaAllocation allocation, int id) {
        return "budgets: " + allocation.limits().size() + " divided among " + allocation.gateways()
                + " gateways, division " + Integer.toHexString(id) + ", on its floor until others have promised more";
    }

    static String modeChanged(QuotaProtocol.ModeChange change, int limits) {
        boolean full = change.mode() == QuotaProtocol.Mode.FULL_ENTITLEMENT;
        String takenOver =
                change.takenOverPartitions() > 0 ? ", and stands in for " + change.takenOverPartitions() : "";
        return "budgets: " + (full ? "has its whole share of " : "falls to its floor of ") + limits + " budgets"
                + takenOver;
    }

    static String memberChanged(Membership.Change change, Membership membership) {
        return "fleet: n" + change.member() + " " + change.current().logName() + ", " + membership.presentCount()
                + " of " + membership.size() + " present";
    }

    static String unreadablePacket(int sender, int length) {
        return "parcels of the fleet not read: of n" + sender + ", " + length + " bytes";
    }

    static String otherAllocation(int sender, int id) {
        return "another division: n" + sender + " goes by " + Integer.toHexString(id);
    }

    static String statistics(List<LimitStatistics> limits, PacketQueue queue, Membership membership) {
        int held = limits.stream().mapToInt(LimitStatistics::held).sum();
        int borrowed = limits.stream().mapToInt(LimitStatistics::borrowed).sum();
        int lent = limits.stream().mapToInt(LimitStatistics::lent).sum();
        int demand = limits.stream().mapToInt(LimitStatistics::demand).sum();
        int inUse = limits.stream().mapToInt(LimitStatistics::inUse).sum();
        long rejected = limits.stream().mapToLong(LimitStatistics::rejected).sum();
        return "budgets: holds " + held + " parts, " + borrowed + " borrowed, " + lent + " lent, " + demand
                + " asked for, " + inUse + " in use, " + rejected + " refused since the start, " + queue.bytesSent()
                + " bytes sent, " + queue.packetsDropped() + " parcels dropped, " + membership.presentCount() + " of "
                + membership.size() + " present";
    }
}
