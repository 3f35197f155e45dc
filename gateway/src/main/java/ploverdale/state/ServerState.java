package ploverdale.state;

import java.util.List;
import ploverdale.model.ServerId;

/** All that this gateway knows of one database server, in parts that each belong to one kind of decision. */
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

    /** @param limit how many attempts may be in flight at first */
    public ServerState(ServerId id, ReplicaGroup group, double limit) {
        this.id = id;
        this.group = group;
        load = new Load(limit);
    }

    /** The server's name. */
    public ServerId id() {
        return id;
    }

    /** The replica group that the server belongs to. */
    public ReplicaGroup group() {
        return group;
    }

    /** Whether the server is listed, draining or removed. */
    public EndpointLifecycle lifecycle() {
        return lifecycle;
    }

    /** Role and log position. */
    public ReplicationStatus replication() {
        return replication;
    }

    /** When the server last showed that it is alive. */
    public Liveness liveness() {
        return liveness;
    }

    /** Whether the server is ejected as an outlier. */
    public Ejection ejection() {
        return ejection;
    }

    /** The health check in flight. */
    public HealthCheckProgress healthCheck() {
        return healthCheck;
    }

    /** Refused connections and rejected requests. */
    public ConnectionStatus connections() {
        return connections;
    }

    /** Answers lost on their way. */
    public AnswerLoss answerLoss() {
        return answerLoss;
    }

    /** Slow start after a cold start. */
    public SlowStartProgress slowStart() {
        return slowStart;
    }

    /** Attempts in flight, limit and latency inflation. */
    public Load load() {
        return load;
    }

    /** Whether the server is the known primary of its group. */
    public boolean isPrimary() {
        return group.primary() == this;
    }

    /** Whether the server is listed and not ejected. */
    public boolean isServing() {
        return lifecycle.isActive() && !ejection.isEjected();
    }

    /** Whether the server is serving and was confirmed to be alive at least once. */
    public boolean isConfirmedServing() {
        return isServing() && liveness.wasEverConfirmed();
    }

    /** The attempts begun since the server was last readmitted; older ones may never be answered. */
    public List<PendingRequest> attemptsSinceReadmission() {
        return load.startedSince(ejection.readmittedAt());
    }

    /** How many attempts were begun since the server was last readmitted. */
    public int countAttemptsSinceReadmission() {
        return load.countStartedSince(ejection.readmittedAt());
    }
}
