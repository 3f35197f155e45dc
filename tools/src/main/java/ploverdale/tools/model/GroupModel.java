package ploverdale.tools.model;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import ploverdale.tools.model.ServerModel.Fault;

/** A primary and its replicas. */
public final class GroupModel {
    /** How a server takes an op. */
    public enum Taking {
        WORKS,
        TURNS_AWAY,
        FULL,
        NOTHING,
        REFUSES
    }

    /** An op as it comes to a server; the token is null for ops without. */
    public record Work(
            String request,
            boolean write,
            String token,
            String server,
            long cameAt,
            long doneAt,
            Taking taking,
            boolean pushedOver) {}

    /** What came of it: applied now, answered or not, with the position of the data; garbled answers say nothing. */
    public record Done(boolean applied, boolean answered, boolean garbled, long position) {}

    /** Who hears of changes, in the order in which they happen. */
    public interface Watcher {
        void changed(long now, String what);
    }

    private final Plan plan;
    private final RandomGenerator random;
    private final Watcher watcher;
    private final Map<String, ServerModel> servers = new LinkedHashMap<>();
    private final Map<String, Long> tokens = new HashMap<>();
    private String primary;
    private String next; // will be primary at nextAt
    private long nextAt = Long.MAX_VALUE;
    private long lastCommit;
    private long logEnd; // the log of a group without a primary stands still here
    private boolean leaderless;

    public GroupModel(Plan plan, RandomGenerator random, List<String> ids, long now, Watcher watcher) {
        this.plan = plan;
        this.random = random;
        this.watcher = watcher;
        ids.forEach(id -> servers.put(id, new ServerModel(id, plan.cores(), now)));
        primary = ids.get(0);
        lastCommit = now;
    }

    public Plan plan() {
        return plan;
    }

    public ServerModel server(String id) {
        return servers.get(id);
    }

    /** The primary's id, also while it is silent and nobody has taken over; null while none is. */
    public String primary(long now) {
        advance(now);
        return primary;
    }

    /** Where a server stands in the log. */
    public long position(long now, String id) {
        advance(now);
        return id.equals(primary) && servers.get(id).answers()
                ? now
                : servers.get(id).position(now, log(now), plan);
    }

    /** How far the log has come to those who follow. */
    private long log(long now) {
        return leaderless ? logEnd : now - plan.ship();
    }

    /** Elections whose time has come take place. */
    public void advance(long now) {
        if (primary != null && !servers.get(primary).answers() && !leaderless) {
            leaderless = true;
            logEnd = servers.get(primary).faultSince();
            nextAt = logEnd + plan.detect() + plan.elect();
        }
        if (leaderless && now >= nextAt) {
            String best = null;
            for (ServerModel s : servers.values()) {
                boolean may = s.answers() && !s.draining() && !s.id().equals(primary);
                best = may
                                && (best == null
                                        || servers.get(best).position(now, logEnd, plan)
                                                < s.position(now, logEnd, plan))
                        ? s.id()
                        : best;
            }
            if (best != null) {
                primary = best;
                leaderless = false;
                nextAt = Long.MAX_VALUE;
                watcher.changed(now, "primary " + best);
            }
        }
    }

    /** Something goes wrong with a server. */
    public void fault(long now, String id, Fault fault) {
        advance(now);
        if (id.equals(primary) && servers.get(id).answers()) {
            servers.get(id).led(now);
        } else {
            position(now, id);
        }
        servers.get(id).fault(fault, now, plan, false);
        watcher.changed(now, id + " " + fault);
        advance(now);
    }

    /** A server is as before; after a restart it is cold. One that was primary follows, if another took over. */
    public void heals(long now, String id, boolean restarted) {
        advance(now);
        boolean led = id.equals(primary) && leaderless;
        servers.get(id).position(now, log(now), plan);
        servers.get(id).fault(Fault.NONE, now, plan, restarted);
        if (led && now < nextAt) {
            leaderless = false;
        }
        watcher.changed(now, id + " back" + (restarted ? ", cold" : ""));
    }

    /** A server is to go; a primary hands over. */
    public void drains(long now, String id) {
        advance(now);
        servers.get(id).drains();
        if (id.equals(primary)) {
            leaderless = true;
            logEnd = now;
            nextAt = now + plan.switchOver();
        }
        watcher.changed(now, id + " drains");
    }

    /** An op comes to a server. */
    public Work comes(long now, String server, String request, boolean write, String token) {
        advance(now);
        ServerModel s = servers.get(server);
        boolean over = s.pushes(now, plan);
        Taking taking;
        long doneAt = now;
        if (!s.answers()) {
            taking = s.fault() == Fault.REFUSING ? Taking.REFUSES : Taking.NOTHING;
        } else if (write && (!server.equals(primary) || leaderless)) {
            taking = Taking.TURNS_AWAY;
        } else {
            long work = (long) (-Math.log(1 - random.nextDouble()) * plan.meanWork());
            doneAt = s.takes(now, work, plan);
            taking = doneAt < 0 ? Taking.FULL : Taking.WORKS;
        }
        return new Work(request, write, token, server, now, doneAt, taking, over);
    }

    /** An op that was taken ends, at its time; a server that went silent meanwhile may have run it or not. */
    public Done ends(long now, Work w) {
        advance(now);
        ServerModel s = servers.get(w.server());
        boolean answers =
                s.answers() && s.faultSince() < w.cameAt() || s.fault() == Fault.NONE && s.startedAt() <= w.cameAt();
        boolean runs = answers || s.startedAt() <= w.cameAt() && random.nextBoolean() && s.faultSince() > w.cameAt();
        boolean known = w.token() != null && tokens.getOrDefault(w.token(), Long.MIN_VALUE) > now - plan.tokenWindow();
        boolean leads = w.server().equals(primary) && (!leaderless || !answers);
        boolean applied = w.write() && runs && leads && !known;
        if (applied) {
            lastCommit = now;
            if (w.token() != null) {
                tokens.values().removeIf(at -> at < now - plan.tokenWindow());
                tokens.put(w.token(), now);
            }
        }
        boolean lost = w.write() && !leads;
        return new Done(
                applied,
                answers && !lost,
                s.fault() == Fault.GARBLED,
                w.write() ? lastCommit : position(now, w.server()));
    }
}
