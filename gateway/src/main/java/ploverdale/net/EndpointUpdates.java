package ploverdale.net;

import java.util.HashMap;
import java.util.LinkedHashMap;
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
    private final RemovedStartTimes removedStartTimes = new RemovedStartTimes();

    /** When a server last started: in milliseconds of the wall clock, as listed, and as service time. */
    private record StartTime(long wall, long serviceTime) {}

    /** Of the servers removed last, so that an older list that still names one does not seem to name a later start. */
    private static final class RemovedStartTimes extends LinkedHashMap<ServerId, StartTime> {
        private static final int MAX_SERVERS = 1000;
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ServerId, StartTime> eldest) {
            return size() > MAX_SERVERS;
        }
    }

    EndpointUpdates(RouterEventLoop loop, ServerConnectionPool servers, ServerClock serverClock) {
        this.loop = loop;
        this.servers = servers;
        this.serverClock = serverClock;
    }

    /** Takes a complete list, or the changes of one. */
    void onList(EndpointList list) {
        if (list.complete()) {
            Set<ServerId> listed = serverIds(list);
            List<ServerId> unlisted = startTimes.keySet().stream()
                    .filter(server -> !listed.contains(server))
                    .toList();
            unlisted.forEach(this::removeStartTime);
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
        StartTime removed = removedStartTimes.remove(endpoint.server());
        StartTime startTime = startTimes.getOrDefault(endpoint.server(), removed);
        boolean isRemoved = endpoint.state() == Endpoint.EndpointState.GONE;
        if (startTime == null || !isRemoved && startTime.wall() != endpoint.startedAt()) {
            startTime = new StartTime(endpoint.startedAt(), serverClock.serverStart(endpoint.startedAt()));
        }
        startTimes.put(endpoint.server(), startTime);
        if (isRemoved) {
            removeStartTime(endpoint.server());
        }
        return new Endpoint(
                endpoint.server(),
                endpoint.group(),
                endpoint.zone(),
                endpoint.state(),
                endpoint.primary(),
                startTime.serviceTime());
    }

    private void removeStartTime(ServerId server) {
        removedStartTimes.put(server, startTimes.remove(server));
    }

    /** Converts all starts anew, since the offset between wall clock and service time has changed. */
    void onClockOffsetChanged() {
        Map<ServerId, Long> startedAt = new HashMap<>();
        for (Map<ServerId, StartTime> starts : List.of(removedStartTimes, startTimes)) {
            starts.replaceAll((server, start) -> new StartTime(start.wall(), serverClock.serverStart(start.wall())));
            starts.forEach((server, start) -> startedAt.put(server, start.serviceTime()));
        }
        loop.enqueue(new Event.ClockOffsetChanged(startedAt));
    }
}
