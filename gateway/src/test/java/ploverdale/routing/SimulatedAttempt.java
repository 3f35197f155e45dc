package ploverdale.routing;

import ploverdale.model.RequestId;

/** One attempt of a request at a simulated server. Times in tenths of a millisecond, work in requests of mean work. */
final class SimulatedAttempt {
    final int gateway;
    final RequestId request;
    final int number;
    final SimulatedServer server;
    final long sentAt;
    final double work;
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
