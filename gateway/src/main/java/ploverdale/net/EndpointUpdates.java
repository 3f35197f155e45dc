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
 * Converts endpoint lists to events for the router and to addresses for the connection pool. Converts the start time of
 * each server from wall-clock time to service time, once per start. Used on the event loop only.
 */
final class EndpointUpdates {
    private final RouterEventLoop loop;
    private final ServerConnectionPool servers;
    private final ServerClock serverClock;
    private final Map<ServerId, StartTime> startTimes = new HashMap<>();
    private final RemovedStartTimes removedStartTimes = new RemovedStartTimes();

    /**
     * The time at which a server last started.
     *
     * @param wallMs as listed, in milliseconds of the wall clock
     * @param serviceTime as service time, in tenths of a millisecond
     */
    private record StartTime(long wallMs, long serviceTime) {}

    /**
     * The start times of the servers removed most recently. Without them, an older list that still contains such a
     * server would seem to report a new start of it.
     */
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

    /** Handles a complete endpoint list or an update of one. */
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

    /** Returns the endpoint with its start as service time, which is the same whenever the same start is listed. */
    private Endpoint withStartTime(Endpoint endpoint) {
        StartTime removed = removedStartTimes.remove(endpoint.server());
        StartTime startTime = startTimes.getOrDefault(endpoint.server(), removed);
        boolean isRemoved = endpoint.state() == Endpoint.EndpointState.GONE;
        if (startTime == null || !isRemoved && startTime.wallMs() != endpoint.startedAt()) {
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

    /**
     * Called when the offset between the wall clock and service time has changed. Converts all start times again and
     * reports them to the router.
     */
    void onClockOffsetChanged() {
        Map<ServerId, Long> startedAt = new HashMap<>();
        for (Map<ServerId, StartTime> starts : List.of(removedStartTimes, startTimes)) {
            starts.replaceAll((server, start) -> new StartTime(start.wallMs(), serverClock.serverStart(start.wallMs())));
            starts.forEach((server, start) -> startedAt.put(server, start.serviceTime()));
        }
        loop.enqueue(new Event.ClockOffsetChanged(startedAt));
    }
}
