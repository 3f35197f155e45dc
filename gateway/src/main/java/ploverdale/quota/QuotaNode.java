package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.function.ObjLongConsumer;
import ploverdale.gossip.ServerHash;
import ploverdale.membership.Incarnation;
import ploverdale.membership.Membership;
import ploverdale.membership.Packet;
import ploverdale.membership.PacketCodec;
import ploverdale.membership.PacketQueue;
import ploverdale.model.Event.Started;
import ploverdale.model.Quota;
import ploverdale.model.ServerId;
import ploverdale.model.TenantId;
import ploverdale.replication.Replicas;

/**
 * All that one gateway has of its fleet: who is there, the budgets, the letters between them, and what of the budgets the
 * module may spend. The same on sockets and on the simulator's wire; whoever owns it looks round in time and carries the
 * letters. Times in tenths of a millisecond, of a clock that never steps.
 */
public final class QuotaNode implements Quota {
    /** How often {@link #due} is to be asked, in tenths of a millisecond; short beside any lease. */
    public static final long LOOK = 200;

    private final QuotaSettings quotaSettings;
    private final LongSupplier clock;
    private final int tenants;
    private final QuotaAllocation division;
    private final Membership membership;
    private final Budgets budgets;
    private final PacketQueue packing;
    private final Replicas replicas; // null where nothing is kept
    private final int id; // by which parcels of gateways that divide or keep otherwise are told apart
    private final StaticQuota staticQuota; // what is no budget of the fleet
    private final List<String> lines = new ArrayList<>();

    /**
     * @param startedMs Unix ms, by which later starts of a name are told from earlier ones
     * @param wall Unix time, in tenths of a millisecond
     */
    public QuotaNode(QuotaSettings quotaSettings, Started told, long startedMs, LongSupplier clock, LongSupplier wall) {
        this.quotaSettings = quotaSettings;
        this.clock = clock;
        tenants = quotaSettings.tenantBudgets(told);
        division = quotaSettings.division(told);
        SplittableRandom random = new SplittableRandom(told.seed() ^ 0x5DEECE66DL);
        long now = clock.getAsLong();
        membership = new Membership(told.me(), told.gateways(), startedMs, random.split());
        budgets = new Budgets(
                told.me(),
                Incarnation.startOf(membership.incarnation()),
                division,
                quotaSettings.leaseDurations(),
                random.split(),
                now);
        packing = new PacketQueue(quotaSettings.bytesPerSecond(), now);
        staticQuota = new StaticQuota(told.tenants(), told.gateways());
        replicas = quotaSettings.keeping() == null
                ? null
                : new Replicas(
                        told.me(),
                        told.gateways(),
                        Incarnation.startOf(membership.incarnation()),
                        quotaSettings.keeping(),
                        random.split(),
                        wall);
        id = division.id() + (replicas == null ? 0 : quotaSettings.keeping().replicationFactor());
        if (divides()) {
            lines.add("budgets: " + division.budgets().size() + " divided among " + told.gateways()
                    + " gateways, division " + Integer.toHexString(id)
                    + ", on its floor until others have promised more");
        }
    }

    private boolean divides() {
        return !division.budgets().isEmpty();
    }

    /** What is kept for the fleet, or null. */
    public Replicas replicas() {
        return replicas;
    }

    /** Looks round: what is to be told by now. */
    public List<PacketQueue.OutboundPacket> due() {
        long now = clock.getAsLong();
        membership.onTick(now, packing);
        for (Membership.Change c : membership.drainChanges()) {
            lines.add("fleet: n" + c.member() + " " + c.current().logName() + ", " + membership.presentCount() + " of "
                    + membership.size() + " present");
        }
        budgets.speaksAs(Incarnation.startOf(membership.incarnation()));
        budgets.due(now, membership::isPresent, packing);
        String line = budgets.line();
        if (line != null && divides()) {
            lines.add(line);
        }
        if (replicas != null) {
            replicas.setIncarnation(Incarnation.startOf(membership.incarnation()));
            replicas.onTick(now, membership::isPresent, packing);
        }
        return letters(now);
    }

    private List<PacketQueue.OutboundPacket> letters(long now) {
        if (replicas != null) {
            lines.addAll(replicas.takeLogLines());
        }
        return packing.drain(now, membership.incarnation(), id);
    }

    /** Has something asked or told by what is kept; tells what is to be sent for it. */
    public List<PacketQueue.OutboundPacket> keeps(ObjLongConsumer<PacketQueue> what) {
        long now = clock.getAsLong();
        what.accept(packing, now);
        return letters(now);
    }

    /** Reads a datagram and tells what is to be answered; null where it is none of the fleet's. */
    public List<PacketQueue.OutboundPacket> hears(int from, byte[] bytes) {
        if (!PacketCodec.hasMagic(bytes)) {
            return null;
        }
        Packet p = PacketCodec.decode(bytes);
        long now = clock.getAsLong();
        if (p == null) {
            lines.add("parcels of the fleet not read: of n" + from + ", " + bytes.length + " bytes");
            return List.of();
        }
        if (!membership.acceptPacket(now, from, p.incarnation())) {
            membership.correctStaleSender(from, packing);
            return letters(now);
        }
        boolean same = p.allocationId() == id;
        for (Packet.Part part : p.parts()) {
            membership.onPart(now, from, part, packing);
            if (same) {
                budgets.part(now, from, Incarnation.startOf(p.incarnation()), part, packing);
                if (replicas != null) {
                    replicas.onMessage(now, from, Incarnation.startOf(p.incarnation()), part, packing);
                }
            }
        }
        if (!same) {
            lines.add("another division: n" + from + " goes by " + Integer.toHexString(p.allocationId()));
        }
        return letters(now);
    }

    /** What is to be logged since the last call; each begins with its kind and a colon. */
    public List<String> lines() {
        List<String> all = List.copyOf(lines);
        lines.clear();
        return all;
    }

    /** This gateway leaves. */
    public void leaves() {
        membership.leave(clock.getAsLong());
    }

    /** A line of all figures. */
    public String figures() {
        int[] sums = new int[5];
        long refused = 0;
        for (Budgets.Figures f : budgets.figures(clock.getAsLong())) {
            sums[0] += f.held();
            sums[1] += f.borrowed();
            sums[2] += f.lent();
            sums[3] += f.wanted();
            sums[4] += f.inUse();
            refused += f.refused();
        }
        return "budgets: holds " + sums[0] + " parts, " + sums[1] + " borrowed, " + sums[2] + " lent, " + sums[3]
                + " asked for, " + sums[4] + " in use, " + refused + " refused since the start, " + packing.bytesSent()
                + " bytes sent, " + packing.packetsDropped() + " parcels dropped, " + membership.presentCount() + " of "
                + membership.size() + " present" + (replicas == null ? "" : "; " + replicas.statistics());
    }

    // -- What the module may spend

    private int sends(ServerId server) {
        return quotaSettings.sends(tenants, ServerHash.of(server));
    }

    private int cold(ServerId server, boolean cold) {
        return cold ? quotaSettings.cold(tenants, ServerHash.of(server)) : -1;
    }

    private boolean spends(int budget) {
        return budget < 0 || budgets.spend(clock.getAsLong(), budget);
    }

    @Override
    public boolean tryAcquireRequest(long now, TenantId tenant) {
        boolean its = staticQuota.tryAcquireRequest(now, tenant);
        return tenants == 0 ? its : tenant.index() >= tenants || spends(tenant.index());
    }

    @Override
    public boolean limitsAttempts() {
        return quotaSettings.sendsAtServer() > 0;
    }

    @Override
    public boolean hasAttempt(ServerId server, boolean cold) {
        long now = clock.getAsLong();
        int at = sends(server);
        int whileCold = cold(server, cold);
        return (at < 0 || budgets.has(now, at)) && (whileCold < 0 || budgets.has(now, whileCold));
    }

    @Override
    public boolean tryAcquireAttempt(ServerId server, boolean cold) {
        if (!spends(sends(server))) {
            return false;
        }
        boolean may = spends(cold(server, cold));
        if (!may) {
            ended(sends(server)); // nothing goes out after all
        }
        return may;
    }

    @Override
    public void releaseAttempt(ServerId server, boolean cold) {
        ended(sends(server));
        ended(cold(server, cold));
    }

    private void ended(int budget) {
        if (budget >= 0) {
            budgets.ended(budget);
        }
    }

    /** Where the fleet pays for further sends, units that others have reserved here are not counted. */
    @Override
    public boolean hasRetry(int reserved) {
        return quotaSettings.secondSends() == 0
                ? staticQuota.hasRetry(reserved)
                : budgets.has(clock.getAsLong(), quotaSettings.again(tenants));
    }

    @Override
    public boolean tryAcquireRetry() {
        return quotaSettings.secondSends() == 0 ? staticQuota.tryAcquireRetry() : spends(quotaSettings.again(tenants));
    }

    @Override
    public boolean tryAcquireHealthCheck(HealthCheckReason why) {
        return quotaSettings.probes() == 0
                ? staticQuota.tryAcquireHealthCheck(why)
                : spends(quotaSettings.probing(tenants));
    }

    @Override
    public long retryAfter(long now, TenantId tenant) {
        return tenant.index() >= tenants ? 0 : budgets.retryAfter(clock.getAsLong(), tenant.index());
    }
}
