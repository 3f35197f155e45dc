package ploverdale.routing;

import ploverdale.model.RequestId;

/**
 * An attempt of a request at a simulated server. Times are ticks; work is in multiples of the mean work of a request.
 */
final class SimulatedAttempt {
    final int gateway;
    final RequestId request;
    final int number;
    final SimulatedServer server;
    final long sentAt;
    final double work;
    /** Whether the gateway has been notified of the end of the attempt. */
    boolean ended;

    SimulatedAttempt(int gateway, RequestId request, int number, SimulatedServer server, long sentAt, double work) {
        this.gateway = gateway;
        this.request = request;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
        this.work = work;
    }
}
