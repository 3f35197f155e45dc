package ploverdale.state;

import java.util.List;
import ploverdale.model.ServerId;

/** What this gateway knows about one database server, in parts that each belong to one kind of decision. */
public final class ServerState {
    private final ServerId id;
    private final ReplicaGroup group;
    private final EndpointLifecycle lifecycle = new EndpointLifecycle();
    private final ReplicationStatus replication = new ReplicationStatus();
    private final Liveness liveness = new Liveness();
    private final Ejection ejection = new Ejection();
    private final HealthCheckProgress healthCheck = new HealthCheckProgress();
    private final ConnectionStatus connections = new ConnectionStatus();
    private final AnswerLoss answerLoss = new AnswerLoss();
    private final SlowStartProgress slowStart = new SlowStartProgress();
    private final Load load;

    /** @param limit the initial concurrency limit */
    public ServerState(ServerId id, ReplicaGroup group, double limit) {
        this.id = id;
        this.group = group;
        load = new Load(limit);
    }

    /** Returns the server id. */
    public ServerId id() {
        return id;
    }

    /** Returns the replica group that the server belongs to. */
    public ReplicaGroup group() {
        return group;
    }

    /** Returns whether the server is listed, draining or removed. */
    public EndpointLifecycle lifecycle() {
        return lifecycle;
    }

    /** Returns the role and the log position. */
    public ReplicationStatus replication() {
        return replication;
    }

    /** Returns when the server last proved to be alive. */
    public Liveness liveness() {
        return liveness;
    }

    /** Returns whether the server is ejected as an outlier. */
    public Ejection ejection() {
        return ejection;
    }

    /** Returns the state of the health check in flight. */
    public HealthCheckProgress healthCheck() {
        return healthCheck;
    }

    /** Returns the state of refused connections and rejected requests. */
    public ConnectionStatus connections() {
        return connections;
    }

    /** Returns the estimate of answers lost on the network. */
    public AnswerLoss answerLoss() {
        return answerLoss;
    }

    /** Returns the progress of slow start. */
    public SlowStartProgress slowStart() {
        return slowStart;
    }

    /** Returns the attempts in flight, the concurrency limit and the latency inflation. */
    public Load load() {
        return load;
    }

    /** Returns whether the server is the known primary of its group. */
    public boolean isPrimary() {
        return group.primary() == this;
    }

    /** Returns whether the server is listed and not ejected. */
    public boolean isServing() {
        return lifecycle.isActive() && !ejection.isEjected();
    }

    /** Returns whether the server is serving and has been confirmed to be alive at least once. */
    public boolean isConfirmedServing() {
        return isServing() && liveness.wasEverConfirmed();
    }

    /**
     * Returns the requests in flight whose attempts began since the server was last readmitted; older ones may never be
     * answered.
     */
    public List<PendingRequest> attemptsSinceReadmission() {
        return load.startedSince(ejection.readmittedAt());
    }

    /** Returns how many attempts in flight began since the server was last readmitted. */
    public int countAttemptsSinceReadmission() {
        return load.countStartedSince(ejection.readmittedAt());
    }
}
