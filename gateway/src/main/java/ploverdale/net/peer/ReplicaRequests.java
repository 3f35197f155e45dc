package ploverdale.net.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import ploverdale.membership.PacketQueue;
import ploverdale.replication.QuorumResult;
import ploverdale.replication.Replicas;

/**
 * Sends requests to the replicas and runs the callback of each request when it has completed. Used on the event loop
 * only.
 */
public final class ReplicaRequests {
    /** Access to the queue of packets for other gateways. */
    public interface PacketExchange {
        /**
         * Runs the action and sends the packets that it queues.
         *
         * @param action is called with the queue and the current time, in tenths of a millisecond of a monotonic clock
         */
        void exchange(ObjLongConsumer<PacketQueue> action);
    }

    /** A request to the replicas that has not been sent yet. */
    interface ReplicaRequest {
        /**
         * Queues the packets of the request.
         *
         * @param now the current time, in tenths of a millisecond of a monotonic clock
         * @return the ticket of the request; 0 if no result will follow
         */
        long start(Replicas replicas, long now, PacketQueue packets);
    }

    private final Replicas replicas;
    private final PacketExchange packetExchange;
    private final Map<Long, Consumer<QuorumResult>> callbacks = new HashMap<>(); // by the ticket of the request

    public ReplicaRequests(Replicas replicas, PacketExchange packetExchange) {
        this.replicas = replicas;
        this.packetExchange = packetExchange;
    }

    /** Starts a request. The callback may run before this method returns. */
    void start(ReplicaRequest request, Consumer<QuorumResult> callback) {
        packetExchange.exchange((packets, now) -> {
            long ticket = request.start(replicas, now, packets);
            if (ticket != 0) {
                callbacks.put(ticket, callback);
            }
        });
        runCallbacks();
    }

    /** Runs the callbacks of all completed requests. To be called after each datagram and each tick. */
    public void runCallbacks() {
        for (QuorumResult result : replicas.takeResults()) {
            Consumer<QuorumResult> callback = callbacks.remove(result.ticket());
            if (callback != null) {
                callback.accept(result);
            }
        }
    }

    /**
     * Called when the offset of the servers' clock was corrected. Entries that this gateway has recorded until now
     * carry wrong times, so it answers as a replica only for what it records from now on.
     */
    void clockOffsetChanged() {
        replicas.onClockCorrected();
    }
}
