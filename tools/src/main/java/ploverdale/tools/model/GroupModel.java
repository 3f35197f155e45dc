package ploverdale.tools.model;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import ploverdale.tools.model.ServerModel.Fault;

/** Models a replica group: a primary and its replicas. Times are in ticks (a tenth of a millisecond). */
public final class GroupModel {
    /** What a server does with a request that arrives. */
    public enum Disposition {
        /** The server executes the request. */
        ACCEPTED,
        /** The server rejects a write, since it is not the primary or there is none at present. */
        NOT_PRIMARY,
        /** The server rejects the request, since its queue is full. */
        QUEUE_FULL,
        /** The server does not answer. */
        UNRESPONSIVE,
        /** The server accepts no connection. */
        CONNECTION_REFUSED
    }

    /**
     * A request that has arrived at a server.
     *
     * @param token by which repeats of a write are dropped, or null
     * @param doneAt when the server completes it; -1 if its queue is full, the time of arrival for other requests that are not
     *     accepted
     * @param overloaded whether this request made a server in slow start crash
     */
    public record Execution(
            String request,
            boolean write,
            String token,
            String server,
            long arrivedAt,
            long doneAt,
            Disposition disposition,
            boolean overloaded) {}

    /**
     * The result of an execution.
     *
     * @param applied whether a write took effect now
     * @param answered whether the server answers
     * @param corrupt whether the answer is corrupt
     * @param position the log position of the data
     */
    public record Completion(boolean applied, boolean answered, boolean corrupt, long position) {}

    /** Is notified of changes in the group, in the order in which they happen. */
    public interface ChangeListener {
        void changed(long now, String what);
    }

    private final GroupParameters parameters;
    private final RandomGenerator random;
    private final ChangeListener listener;
    private final Map<String, ServerModel> servers = new LinkedHashMap<>();
    private final Map<String, Long> tokens = new HashMap<>(); // token to the time at which its write took effect
    private String primary;
    private String next; // never set

    /** When a replica takes over; valid while {@link #leaderless}. */
    private long electionAt = Long.MAX_VALUE;

    private long lastCommit; // log position of the last write that took effect

    /** The log position at which the primary was lost; valid while {@link #leaderless}. */
    private long logEnd;

    private boolean leaderless;

    public GroupModel(
            GroupParameters parameters, RandomGenerator random, List<String> ids, long now, ChangeListener listener) {
        this.parameters = parameters;
        this.random = random;
        this.listener = listener;
        ids.forEach(id -> servers.put(id, new ServerModel(id, parameters.cores(), now)));
        primary = ids.get(0);
        lastCommit = now;
    }

    public GroupParameters parameters() {
        return parameters;
    }

    public ServerModel server(String id) {
        return servers.get(id);
    }

    /** Returns the primary's id. A primary that was lost stays the primary until a replica has taken over. */
    public String primary(long now) {
        advance(now);
        return primary;
    }

    /** Returns the log position that a server has applied. */
    public long position(long now, String id) {
        advance(now);
        return id.equals(primary) && servers.get(id).answers()
                ? now
                : servers.get(id).position(now, replicatedPosition(now), parameters);
    }

    /** Returns the log position that has reached the replicas. */
    private long replicatedPosition(long now) {
        return leaderless ? logEnd : now - parameters.replicationDelay();
    }

    /** Detects the loss of the primary, and elects the most advanced replica once the election is due. */
    public void advance(long now) {
        if (primary != null && !servers.get(primary).answers() && !leaderless) {
            leaderless = true;
            logEnd = servers.get(primary).faultSince();
            electionAt = logEnd + parameters.detectionTime() + parameters.electionTime();
        }
        if (leaderless && now >= electionAt) {
            String best = null;
            for (ServerModel s : servers.values()) {
                boolean eligible = s.answers() && !s.isDraining() && !s.id().equals(primary);
                best = eligible
                                && (best == null
                                        || servers.get(best).position(now, logEnd, parameters)
                                                < s.position(now, logEnd, parameters))
                        ? s.id()
                        : best;
            }
            if (best != null) {
                primary = best;
                leaderless = false;
                electionAt = Long.MAX_VALUE;
                listener.changed(now, "primary " + best);
            }
        }
    }

    /** Sets a fault of a server. */
    public void fault(long now, String id, Fault fault) {
        advance(now);
        if (id.equals(primary) && servers.get(id).answers()) {
            servers.get(id).markUpToDate(now);
        } else {
            position(now, id);
        }
        servers.get(id).setFault(fault, now, parameters, false);
        listener.changed(now, id + " " + fault);
        advance(now);
    }

    /**
     * Ends the fault of a server. A former primary remains the primary unless a replica has taken over.
     *
     * @param restarted whether the server was restarted, after which it is in slow start
     */
    public void heal(long now, String id, boolean restarted) {
        advance(now);
        boolean wasPrimary = id.equals(primary) && leaderless;
        servers.get(id).position(now, replicatedPosition(now), parameters);
        servers.get(id).setFault(Fault.NONE, now, parameters, restarted);
        if (wasPrimary && now < electionAt) {
            leaderless = false;
        }
        listener.changed(now, id + " recovered" + (restarted ? ", in slow start" : ""));
    }

    /** Starts to drain a server; a primary hands over to a replica. */
    public void drain(long now, String id) {
        advance(now);
        servers.get(id).drain();
        if (id.equals(primary)) {
            leaderless = true;
            logEnd = now;
            electionAt = now + parameters.handoverTime();
        }
        listener.changed(now, id + " drains");
    }

    /** Called when a request arrives at a server. */
    public Execution arrive(long now, String server, String request, boolean write, String token) {
        advance(now);
        ServerModel s = servers.get(server);
        boolean overloaded = s.recordArrival(now, parameters);
        Disposition disposition;
        long doneAt = now;
        if (!s.answers()) {
            disposition = s.fault() == Fault.REFUSING ? Disposition.CONNECTION_REFUSED : Disposition.UNRESPONSIVE;
        } else if (write && (!server.equals(primary) || leaderless)) {
            disposition = Disposition.NOT_PRIMARY;
        } else {
            long serviceTime = (long) (-Math.log(1 - random.nextDouble()) * parameters.meanServiceTime());
            doneAt = s.enqueue(now, serviceTime, parameters);
            disposition = doneAt < 0 ? Disposition.QUEUE_FULL : Disposition.ACCEPTED;
        }
        return new Execution(request, write, token, server, now, doneAt, disposition, overloaded);
    }

    /**
     * Called at the time at which an accepted request is done. If the server became unresponsive meanwhile, it is random
     * whether the request ran.
     */
    public Completion complete(long now, Execution execution) {
        advance(now);
        ServerModel s = servers.get(execution.server());
        boolean answers = s.answers() && s.faultSince() < execution.arrivedAt()
                || s.fault() == Fault.NONE && s.startedAt() <= execution.arrivedAt();
        boolean ran = answers
                || s.startedAt() <= execution.arrivedAt()
                        && random.nextBoolean()
                        && s.faultSince() > execution.arrivedAt();
        boolean repeated = execution.token() != null
                && tokens.getOrDefault(execution.token(), Long.MIN_VALUE) > now - parameters.tokenWindow();
        boolean isPrimary = execution.server().equals(primary) && (!leaderless || !answers);
        boolean applied = execution.write() && ran && isPrimary && !repeated;
        if (applied) {
            lastCommit = now;
            if (execution.token() != null) {
                tokens.values().removeIf(at -> at < now - parameters.tokenWindow());
                tokens.put(execution.token(), now);
            }
        }
        boolean lost = execution.write() && !isPrimary;
        return new Completion(
                applied,
                answers && !lost,
                s.fault() == Fault.GARBLED,
                execution.write() ? lastCommit : position(now, execution.server()));
    }
}
