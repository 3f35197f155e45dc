package ploverdale.net;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import ploverdale.clock.ServerClock;
import ploverdale.model.Endpoint;
import ploverdale.model.Event;
import ploverdale.model.ServerId;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.net.server.ServerConnectionPool;
import ploverdale.settings.EndpointList;
import ploverdale.settings.EndpointList.Entry;

/**
 * Turns endpoint lists into events for the router and addresses for the server connections. Converts the start of each server
 * from the wall clock to service time, once for each start. Used on the event loop only.
 */
final class EndpointUpdates {
    private final RouterEventLoop loop;
    private final ServerConnectionPool servers;
    private final ServerClock serverClock;
    private final Map<ServerId, StartTime> startTimes = new HashMap<>();

    /** When a server last started: in milliseconds of the wall clock, as listed, and as service time. */
    private record StartTime(long wall, long serviceTime) {}

    EndpointUpdates(RouterEventLoop loop, ServerConnectionPool servers, ServerClock serverClock) {
        this.loop = loop;
        this.servers = servers;
        this.serverClock = serverClock;
    }

    /** Takes a complete list, or the changes of one. */
    void onList(EndpointList list) {
        if (list.complete()) {
            startTimes.keySet().retainAll(serverIds(list));
        }
        List<Endpoint> endpoints = list.entries().stream()
                .map(entry -> withStartTime(entry.endpoint()))
                .toList();
        for (Entry entry : list.entries()) {
            updateConnections(entry);
        }
        loop.enqueue(new Event.EndpointUpdate(list.complete(), false, list.revision(), endpoints));
    }

    private static Set<ServerId> serverIds(EndpointList list) {
        return list.entries().stream().map(entry -> entry.endpoint().server()).collect(Collectors.toSet());
    }

    private void updateConnections(Entry entry) {
        Endpoint endpoint = entry.endpoint();
        if (entry.address() != null) {
            servers.setAddress(endpoint.server(), entry.address());
        }
        if (endpoint.state() == Endpoint.EndpointState.GONE) {
            servers.closeIdleConnections(endpoint.server());
        }
    }

    /** The endpoint with its start as service time, the same each time that the same start is listed. */
    private Endpoint withStartTime(Endpoint endpoint) {
        StartTime startTime = startTimes.get(endpoint.server());
        if (startTime == null || startTime.wall() != endpoint.startedAt()) {
            startTime = new StartTime(endpoint.startedAt(), serverClock.start(endpoint.startedAt()));
        }
        if (endpoint.state() == Endpoint.EndpointState.GONE) {
            startTimes.remove(endpoint.server());
        } else {
            startTimes.put(endpoint.server(), startTime);
        }
        return new Endpoint(
                endpoint.server(),
                endpoint.group(),
                endpoint.zone(),
                endpoint.state(),
                endpoint.primary(),
                startTime.serviceTime());
    }

    /** Converts all starts anew, since the offset between wall clock and service time has changed. */
    void onClockOffsetChanged() {
        startTimes.replaceAll((server, start) -> new StartTime(start.wall(), serverClock.start(start.wall())));
        Map<ServerId, Long> startedAt = new HashMap<>();
        startTimes.forEach((server, start) -> startedAt.put(server, start.serviceTime()));
        loop.enqueue(new Event.ClockOffsetChanged(startedAt));
    }
}
