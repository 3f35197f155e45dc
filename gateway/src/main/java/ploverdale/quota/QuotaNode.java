package ploverdale.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.function.ObjLongConsumer;
import ploverdale.gossip.Datagram;
import ploverdale.membership.Membership;
import ploverdale.membership.Packet;
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
    /** How often {@link #onTick} is to be asked, in tenths of a millisecond; short beside any lease. */
    public static final long TICK_INTERVAL = 200;

    private final QuotaSettings quotaSettings;
    private final LongSupplier clock;
    private final int tenants;
    private final QuotaAllocation division;
    private final Membership membership;
    private final QuotaProtocol budgets;
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
        division = quotaSettings.allocation(told);
        SplittableRandom random = new SplittableRandom(told.seed() ^ 0x5DEECE66DL);
        long now = clock.getAsLong();
        membership = new Membership(told.me(), told.gateways(), startedMs, random.split());
        budgets = new QuotaProtocol(
                told.me(),
                Membership.start(membership.incarnation()),
                division,
                quotaSettings.leaseDurations(),
                random.split(),
                now);
        packing = new PacketQueue(quotaSettings.bytesPerSecond(), now);
        staticQuota = new StaticQuota(told.tenants(), told.gateways());
        replicas = quotaSettings.replication() == null
                ? null
                : new Replicas(
                        told.me(),
                        told.gateways(),
                        Membership.start(membership.incarnation()),
                        quotaSettings.replication(),
                        random.split(),
                        wall);
        id = division.id() + (replicas == null ? 0 : quotaSettings.replication().copies());
        if (divides()) {
            lines.add("budgets: " + division.limits().size() + " divided among " + told.gateways()
                    + " gateways, division " + Integer.toHexString(id)
                    + ", on its floor until others have promised more");
        }
    }

    private boolean divides() {
        return !division.limits().isEmpty();
    }

    /** What is kept for the fleet, or null. */
    public Replicas replicas() {
        return replicas;
    }

    /** Looks round: what is to be told by now. */
    public List<PacketQueue.OutboundPacket> onTick() {
        long now = clock.getAsLong();
        membership.due(now, packing);
        for (Membership.Change c : membership.changes()) {
            lines.add("fleet: n" + c.member() + " " + c.is().name().toLowerCase(Locale.ROOT) + ", "
                    + membership.present() + " of " + membership.size() + " present");
        }
        budgets.setEpoch(Membership.start(membership.incarnation()));
        budgets.onTick(now, membership::isPresent, packing);
        String line = budgets.line();
        if (line != null && divides()) {
            lines.add(line);
        }
        if (replicas != null) {
            replicas.speaksAs(Membership.start(membership.incarnation()));
            replicas.due(now, membership::isPresent, packing);
        }
        return letters(now);
    }

    private List<PacketQueue.OutboundPacket> letters(long now) {
        if (replicas != null) {
            lines.addAll(replicas.lines());
        }
        return packing.letters(now, membership.incarnation(), id);
    }

    /** Has something asked or told by what is kept; tells what is to be sent for it. */
    public List<PacketQueue.OutboundPacket> runAndDrain(ObjLongConsumer<PacketQueue> what) {
        long now = clock.getAsLong();
        what.accept(packing, now);
        return letters(now);
    }

    /** Reads a datagram and tells what is to be answered; null where it is none of the fleet's. */
    public List<PacketQueue.OutboundPacket> onDatagram(int from, byte[] bytes) {
        if (!Packet.isOne(bytes)) {
            return null;
        }
        Packet p = Packet.read(bytes);
        long now = clock.getAsLong();
        if (p == null) {
            lines.add("parcels of the fleet not read: of n" + from + ", " + bytes.length + " bytes");
            return List.of();
        }
        if (!membership.hears(now, from, p.incarnation())) {
            membership.corrects(from, packing);
            return letters(now);
        }
        boolean same = p.division() == id;
        for (Packet.Part part : p.parts()) {
            membership.part(now, from, part, packing);
            if (same) {
                budgets.onMessage(now, from, Membership.start(p.incarnation()), part, packing);
                if (replicas != null) {
                    replicas.part(now, from, Membership.start(p.incarnation()), part, packing);
                }
            }
        }
        if (!same) {
            lines.add("another division: n" + from + " goes by " + Integer.toHexString(p.division()));
        }
        return letters(now);
    }

    /** What is to be logged since the last call; each begins with its kind and a colon. */
    public List<String> drainLogLines() {
        List<String> all = List.copyOf(lines);
        lines.clear();
        return all;
    }

    /** This gateway leaves. */
    public void leave() {
        membership.leaves(clock.getAsLong());
    }

    /** A line of all figures. */
    public String statisticsLine() {
        int[] sums = new int[5];
        long refused = 0;
        for (QuotaProtocol.Figures f : budgets.figures(clock.getAsLong())) {
            sums[0] += f.held();
            sums[1] += f.borrowed();
            sums[2] += f.lent();
            sums[3] += f.wanted();
            sums[4] += f.inUse();
            refused += f.refused();
        }
        return "budgets: holds " + sums[0] + " parts, " + sums[1] + " borrowed, " + sums[2] + " lent, " + sums[3]
                + " asked for, " + sums[4] + " in use, " + refused + " refused since the start, " + packing.spent()
                + " bytes sent, " + packing.dropped() + " parcels dropped, " + membership.present() + " of "
                + membership.size() + " present" + (replicas == null ? "" : "; " + replicas.figures());
    }

    // -- What the module may spend

    private int sends(ServerId server) {
        return quotaSettings.sends(tenants, Datagram.number(server));
    }

    private int cold(ServerId server, boolean cold) {
        return cold ? quotaSettings.cold(tenants, Datagram.number(server)) : -1;
    }

    private boolean spends(int budget) {
        return budget < 0 || budgets.tryAcquire(clock.getAsLong(), budget);
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
        return (at < 0 || budgets.canUse(now, at)) && (whileCold < 0 || budgets.canUse(now, whileCold));
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
            budgets.release(budget);
        }
    }

    /** Where the fleet pays for further sends, units that others have reserved here are not counted. */
    @Override
    public boolean hasRetry(int reserved) {
        return quotaSettings.secondSends() == 0
                ? staticQuota.hasRetry(reserved)
                : budgets.canUse(clock.getAsLong(), quotaSettings.again(tenants));
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
