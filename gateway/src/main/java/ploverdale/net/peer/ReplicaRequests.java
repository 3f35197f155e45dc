package ploverdale.net.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import ploverdale.membership.PacketQueue;
import ploverdale.replication.QuorumResult;
import ploverdale.replication.Replicas;

/**
 * Sends requests to the replicas and calls back whoever waits for one when it has ended. Used on the event loop only.
 */
public final class ReplicaRequests {
    /** Runs something that queues packets for other gateways, and sends these. */
    public interface PacketExchange {
        /** @param action takes the queue and the present, in tenths of a millisecond of a monotonic clock */
        void exchange(ObjLongConsumer<PacketQueue> action);
    }

    /** One request to the replicas. */
    interface ReplicaRequest {
        /**
         * @param now in tenths of a millisecond of a monotonic clock
         * @return its ticket, or 0 where nobody is to be called back
         */
        long start(Replicas replicas, long now, PacketQueue packets);
    }

    private final Replicas replicas;
    private final PacketExchange packetExchange;
    private final Map<Long, Consumer<QuorumResult>> callbacks = new HashMap<>(); // by ticket

    public ReplicaRequests(Replicas replicas, PacketExchange packetExchange) {
        this.replicas = replicas;
        this.packetExchange = packetExchange;
    }

    /** Starts a request; the callback may run before this returns. */
    void start(ReplicaRequest request, Consumer<QuorumResult> callback) {
        packetExchange.exchange((packets, now) -> {
            long ticket = request.start(replicas, now, packets);
            if (ticket != 0) {
                callbacks.put(ticket, callback);
            }
        });
        runCallbacks();
    }

    /** Calls back for each request that has ended; to be called after each datagram and each tick. */
    public void runCallbacks() {
        for (QuorumResult result : replicas.takeResults()) {
            Consumer<QuorumResult> callback = callbacks.remove(result.ticket());
            if (callback != null) {
                callback.accept(result);
            }
        }
    }

    /** What this gateway recorded was dated wrongly: it vouches only for what it records from now on. */
    void clockOffsetChanged() {
        replicas.onClockCorrected();
    }
}
