package ploverdale.net.discovery;

import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import ploverdale.clock.Clock;
import ploverdale.log.Log;
import ploverdale.settings.EndpointList;
import ploverdale.settings.EndpointListReader;
import ploverdale.settings.GatewaySettings;
import ploverdale.settings.InvalidSettingsException;

/**
 * Follows the endpoint list of the discovery agent: fetches the complete list, then watches it by long polls, one after
 * the other, at the address that the configuration named last. Calls are retried with a randomized backoff.
 *
 * <table>
 *   <caption>Transitions of {@link State}</caption>
 *   <tr><th>from</th><th>event</th><th>to</th></tr>
 *   <tr><td>LISTING, WATCHING, LOST</td><td>list or update received</td><td>WATCHING</td></tr>
 *   <tr><td>LISTING, WATCHING, LOST</td><td>update received that does not continue the known revision</td>
 *       <td>LISTING</td></tr>
 *   <tr><td>LISTING, WATCHING</td><td>latest call failed or is overdue</td><td>LOST</td></tr>
 *   <tr><td>WATCHING</td><td>{@link #follow()}</td><td>LISTING</td></tr>
 * </table>
 *
 * <p>Keeps no list, judges no server, and never calls again without a delay after a failure. Used on the event loop only.
 */
public final class Discovery {
    /** What the next call is for. */
    private enum State {
        /** No revision is known: the complete list is fetched. */
        LISTING,
        /** Updates since the known revision are awaited by long polls. */
        WATCHING,
        /** The latest call brought no answer: short calls are made until one is answered, for a list or for updates. */
        LOST
    }

    private static final String PATH = "/registry/instances";
    // An update counts as delivered 6 s after the agent had it and could be reached, whatever became of a call. Within
    // that time a watch without an answer is abandoned and a few further calls may fail: 2 + 1.2 s, then 1.2 s each.
    private static final long LONG_POLL_MS = 2000;
    private static final long OVERDUE_AFTER_MS = 1200; // beyond the long poll, or the whole of a call without one
    private static final long FIRST_BACKOFF_MS = 100; // doubled each time, and up to half as much more at random
    private static final long MAX_BACKOFF_MS = 400;
    private static final long NO_REVISION = -1;

    private final Vertx vertx;
    private final Log log;
    private final GatewaySettings settings;
    private final Consumer<EndpointList> listener;
    private final DiscoveryClient client;
    private final RandomGenerator random;
    private final Clock clock;
    private final Deque<Poll> openPolls = new ArrayDeque<>(); // the latest last
    private final Deque<Poll> supersededPolls = new ArrayDeque<>(); // of former agents, until the present one answers
    private InetSocketAddress address;
    private State state = State.LISTING;
    private long revision = NO_REVISION;
    private long nextPollTimer = -1;
    private long backoffMs = FIRST_BACKOFF_MS;
    private long lostAtMs; // monotonic; while LOST
    private boolean stopped;

    /**
     * @param listener receives each complete list, and each update that is not empty or has another revision
     * @param random spreads the retries of gateways that lost the agent at the same moment
     */
    public Discovery(
            Vertx vertx,
            Log log,
            GatewaySettings settings,
            InetSocketAddress address,
            RandomGenerator random,
            Consumer<EndpointList> listener,
            Clock clock) {
        this.clock = clock;
        this.random = random;
        this.vertx = vertx;
        this.log = log;
        this.settings = settings;
        this.address = address;
        this.listener = listener;
        client = new DiscoveryClient(vertx, OVERDUE_AFTER_MS);
    }

    /** Fetches the complete list, and its updates from then on; calls in flight are ended. */
    public void follow() {
        revision = NO_REVISION;
        if (state == State.WATCHING) {
            state = State.LISTING;
        }
        endOpenPolls();
        poll();
    }

    /**
     * Follows the list at another address from now on. What the former agent answers to a call that is open still counts as told, so
     * such calls are ended only once the new agent has answered or they are overdue.
     */
    public void follow(InetSocketAddress newAddress) {
        address = newAddress;
        backoffMs = FIRST_BACKOFF_MS;
        supersededPolls.addAll(openPolls);
        openPolls.clear();
        while (supersededPolls.size() > DiscoveryClient.MAX_CONNECTIONS) {
            supersededPolls.peekFirst().end();
        }
        follow();
    }

    /** Ends the calls in flight and schedules no further one. */
    public void stop() {
        stopped = true;
        endOpenPolls();
        endSupersededPolls();
        vertx.cancelTimer(nextPollTimer);
    }

    private void schedulePoll(long delayMs) {
        vertx.cancelTimer(nextPollTimer);
        nextPollTimer = stopped ? -1 : vertx.setTimer(delayMs, x -> poll());
    }

    private void endOpenPolls() {
        List.copyOf(openPolls).forEach(Poll::end);
    }

    private void endSupersededPolls() {
        List.copyOf(supersededPolls).forEach(Poll::end);
    }

    private void poll() {
        vertx.cancelTimer(nextPollTimer);
        if (openPolls.size() >= DiscoveryClient.MAX_CONNECTIONS) {
            openPolls.peekFirst().end();
        }
        // After a loss the first call has to show soon whether the agent is back, so it does not wait for an update.
        long holdMs = state == State.WATCHING ? LONG_POLL_MS : 0;
        String uri = revision < 0 ? PATH : PATH + "?from=" + revision + "&hold_ms=" + holdMs;
        Poll poll = new Poll(holdMs > 0);
        openPolls.addLast(poll);
        poll.overdueTimer = vertx.setTimer(holdMs + OVERDUE_AFTER_MS, x -> poll.onOverdue());
        poll.call.start(address, uri);
    }

    /** One call and the timer by which its answer is due. */
    private final class Poll implements DiscoveryClient.Listener {
        private final DiscoveryClient.Call call = client.newCall(this);
        private final InetSocketAddress agent = address;
        private final boolean watch;
        private long overdueTimer;

        private Poll(boolean watch) {
            this.watch = watch;
        }

        private void end() {
            openPolls.remove(this);
            supersededPolls.remove(this);
            vertx.cancelTimer(overdueTimer);
            call.end();
        }

        /**
         * Another call is made soon, and whichever is answered first counts: the agent may be slow rather than down. A
         * watch without an answer is broken.
         */
        private void onOverdue() {
            boolean superseded = isSuperseded();
            if (watch || superseded) {
                end();
            }
            if (!superseded) {
                retryAfterBackoff("no answer");
            }
        }

        private boolean isSuperseded() {
            return supersededPolls.contains(this);
        }

        @Override
        public void onFailure(String reason) {
            boolean latest = this == openPolls.peekLast();
            end();
            if (latest) { // otherwise a later call is in flight already
                retryAfterBackoff(reason);
            }
        }

        @Override
        public void onBody(String body) {
            EndpointList list;
            try {
                list = EndpointListReader.parse(body, settings);
            } catch (InvalidSettingsException invalid) {
                onFailure(invalid.getMessage()); // changes nothing
                return;
            }
            if (isSuperseded()) {
                end();
                putInForce(list, agent);
                return;
            }
            end();
            endOpenPolls(); // their answers would be as old, or older
            endSupersededPolls();
            onAnswer(list);
        }
    }

    private void onAnswer(EndpointList list) {
        if (state == State.LOST) {
            log.line("discovery back after " + (clock.monotonicMs() - lostAtMs) + " ms, revision " + list.revision());
        }
        state = reachableState();
        backoffMs = FIRST_BACKOFF_MS;
        if (!list.leftOut().isEmpty()) {
            log.rateLimited("list entries left out", String.join(", ", list.leftOut()));
        }
        if (!continuesKnownRevision(list)) {
            putInForce(list, address); // its drains and removals bind all the same
            log.line("discovery went back from revision " + revision + " to " + list.revision() + ": asks for all");
            revision = NO_REVISION;
            state = reachableState();
            schedulePoll(FIRST_BACKOFF_MS);
            return;
        }
        if (list.complete() || !list.entries().isEmpty() || list.revision() != revision) {
            putInForce(list, address);
        }
        revision = list.revision();
        state = reachableState();
        poll();
    }

    private void putInForce(EndpointList list, InetSocketAddress agent) {
        log.line("list revision " + list.revision() + (list.complete() ? ", complete, " : ", ")
                + list.entries().size() + " servers, from " + agent.getAddress().getHostAddress() + ":"
                + agent.getPort()); // log line: on-call guide
        listener.accept(list);
    }

    private State reachableState() {
        return revision < 0 ? State.LISTING : State.WATCHING;
    }

    /** An agent that was restarted counts anew: its updates do not apply to the list that was received before. */
    private boolean continuesKnownRevision(EndpointList list) {
        return list.complete() || revision >= 0 && list.revision() >= revision;
    }

    private void retryAfterBackoff(String reason) {
        if (state != State.LOST) {
            state = State.LOST;
            lostAtMs = clock.monotonicMs();
            log.line("discovery lost: " + reason);
        }
        schedulePoll(backoffMs + random.nextLong(backoffMs / 2));
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
}
