package ploverdale.net;

import java.util.Optional;
import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.model.ReplicaGuarantees;
import ploverdale.model.RequestId;
import ploverdale.model.ServerId;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.net.postgres.ResultRow;

/**
 * Learns what becomes of each request, so that other gateways can keep session positions and write outcomes. Decides when a
 * successful request is answered. Used on the event loop only.
 */
interface RequestHistory {

    /** What reads of a session can rely on, given what the settings say. */
    ReplicaGuarantees replicaGuarantees(ReplicaGuarantees configured);

    /** An attempt of the request begins. */
    void onAttempt(RequestId request);

    /** An attempt has ended. With a row, {@link #onSuccess} follows. */
    void onAttemptEnded(RequestId request, Outcome outcome, boolean hasRow);

    /**
     * A server has answered the request; its client is answered now, or once the outcome is replicated.
     *
     * @param report the server's load report, or null where it sent none
     */
    void onSuccess(RequestId request, ResultRow row, LoadReport report, ServerId server);

    /** The request has its final answer, or its client has left. */
    void onFinished(RequestId request);

    /** Times that were converted from the wall clock so far are void. */
    void onClockOffsetChanged();

    /** The history that the quota settings ask for, or one that does nothing where they replicate nothing. */
    static RequestHistory create(
            GatewayOptions options,
            RouterEventLoop loop,
            ClientConnections clients,
            ServerClock serverClock,
            Optional<MembershipTransport> membership) {
        if (membership.isEmpty() || membership.get().shared().replicas() == null) {
            return new LocalRequestHistory(clients);
        }
        MembershipTransport transport = membership.get();
        ReplicationCoordinator coordinator = new ReplicationCoordinator(
                options.vertx(),
                options.log(),
                loop,
                clients,
                options.configuration().settings(),
                options.quotaSettings().get().replication(),
                transport.shared().replicas(),
                transport::keeps,
                serverClock);
        clients.past(coordinator);
        transport.whenHeard(coordinator::ended);
        return new ReplicatedRequestHistory(coordinator);
    }
}
