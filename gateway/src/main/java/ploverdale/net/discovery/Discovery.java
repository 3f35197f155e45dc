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
 * Follows the endpoint list of the discovery agent: fetches the complete list, then watches it by consecutive long
 * polls, at the address in the current configuration. Failed calls are retried after a randomized backoff, and an agent
 * that does not hold its watches is called at a limited rate.
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
 * <p>Keeps no list, makes no decision about a server, and never retries a failed call without a delay. Used on the
 * event loop only.
 */
public final class Discovery {
    /** The purpose of the next call. */
    private enum State {
        /** No revision is known; the complete list is fetched. */
        LISTING,
        /** A revision is known; updates since then are awaited by long polls. */
        WATCHING,
        /** The latest call was not answered; calls that do not wait for an update are made until one is answered. */
        LOST
    }

    private static final String PATH = "/registry/instances";
    // An update must arrive within 6 s from when the agent has it and can be reached, even if calls fail. In that time,
    // a watch without an answer can be abandoned (after 2 + 1.2 s) and a few further calls can fail (1.2 s each).
    private static final long LONG_POLL_MS = 2000;
    private static final long OVERDUE_AFTER_MS = 1200; // in addition to the long poll, if there is one
    private static final long FIRST_BACKOFF_MS = 100; // doubled after each failure, plus up to half of it at random
    private static final long MAX_BACKOFF_MS = 400;
    private static final long NO_REVISION = -1;

    private final Vertx vertx;
    private final Log log;
    private final GatewaySettings settings;
    private final Consumer<EndpointList> listener;
    private final DiscoveryClient client;
    private final RandomGenerator random;
    private final Clock clock;

    /** Calls in flight to the current agent, latest last. */
    private final Deque<Poll> openPolls = new ArrayDeque<>();

    /** Calls in flight to previous agents; kept until the current agent answers. */
    private final Deque<Poll> supersededPolls = new ArrayDeque<>();

    private InetSocketAddress address;
    private State state = State.LISTING;
    private long revision = NO_REVISION;
    private long nextPollTimer = -1;
    private long backoffMs = FIRST_BACKOFF_MS;
    private long lostAtMs; // monotonic time; valid while LOST
    private boolean stopped;

    /**
     * Creates an instance that makes no call before {@link #follow()}.
     *
     * @param address the address of the discovery agent
     * @param listener receives each complete list, and each update that has entries or a new revision
     * @param random spreads the retries of gateways that lost the agent at the same time
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

    /** Fetches the complete list and then its updates. Cancels the calls in flight. */
    public void follow() {
        revision = NO_REVISION;
        if (state == State.WATCHING) {
            state = State.LISTING;
        }
        cancelOpenPolls();
        poll();
    }

    /**
     * Follows the list of another agent from now on. An answer of the previous agent to a call in flight still applies,
     * so such calls are cancelled only when the new agent has answered, when they are overdue, or when there are too
     * many of them.
     */
    public void follow(InetSocketAddress newAddress) {
        address = newAddress;
        backoffMs = FIRST_BACKOFF_MS;
        supersededPolls.addAll(openPolls);
        openPolls.clear();
        while (supersededPolls.size() > DiscoveryClient.MAX_CONNECTIONS) {
            supersededPolls.peekFirst().cancel();
        }
        follow();
    }

    /** Cancels the calls in flight and makes no further ones. */
    public void stop() {
        stopped = true;
        cancelOpenPolls();
        cancelSupersededPolls();
        vertx.cancelTimer(nextPollTimer);
    }

    private void schedulePoll(long delayMs) {
        vertx.cancelTimer(nextPollTimer);
        nextPollTimer = stopped ? -1 : vertx.setTimer(delayMs, ignored -> poll());
    }

    private void cancelOpenPolls() {
        List.copyOf(openPolls).forEach(Poll::cancel);
    }

    private void cancelSupersededPolls() {
        List.copyOf(supersededPolls).forEach(Poll::cancel);
    }

    private void poll() {
        vertx.cancelTimer(nextPollTimer);
        if (openPolls.size() >= DiscoveryClient.MAX_CONNECTIONS) {
            openPolls.peekFirst().cancel();
        }
        // While LOST, a call has to show soon whether the agent is reachable again, so it does not wait for an update.
        long holdMs = state == State.WATCHING ? LONG_POLL_MS : 0;
        String uri = revision < 0 ? PATH : PATH + "?from=" + revision + "&hold_ms=" + holdMs;
        Poll poll = new Poll(holdMs > 0);
        openPolls.addLast(poll);
        poll.overdueTimer = vertx.setTimer(holdMs + OVERDUE_AFTER_MS, ignored -> poll.onOverdue());
        poll.call.start(address, uri);
    }

    /** One call, with the timer that fires when its answer is overdue. */
    private final class Poll implements DiscoveryClient.Listener {
        private final DiscoveryClient.Call call = client.newCall(this);
        private final InetSocketAddress agent = address;
        private final boolean isWatch;
        private final long startedAtMs = clock.monotonicMs();
        private long overdueTimer;

        private Poll(boolean isWatch) {
            this.isWatch = isWatch;
        }

        /** Forgets the call, and cancels it if it is still in flight. */
        private void cancel() {
            openPolls.remove(this);
            supersededPolls.remove(this);
            vertx.cancelTimer(overdueTimer);
            call.cancel();
        }

        /**
         * Called when the answer is overdue. Schedules another call. An overdue list call stays in flight, and the
         * first answer counts, since the agent may be slow rather than down; an overdue watch has failed and is
         * cancelled.
         */
        private void onOverdue() {
            boolean superseded = isSuperseded();
            if (isWatch || superseded) {
                cancel();
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
            cancel();
            if (latest) { // otherwise a later call is already in flight
                retryAfterBackoff(reason);
            }
        }

        @Override
        public void onBody(String body) {
            long receivedAtMs = clock.monotonicMs();
            EndpointList list;
            try {
                list = EndpointListReader.parse(body, settings);
            } catch (InvalidSettingsException invalid) {
                onFailure(invalid.getMessage()); // the list in force stays
                return;
            }
            if (isSuperseded()) {
                cancel();
                putInForce(list, agent);
                return;
            }
            cancel();
            cancelOpenPolls(); // their answers cannot be newer
            cancelSupersededPolls();
            if (onAnswer(list)) {
                long nowMs = clock.monotonicMs();
                long intervalMs = isWatch ? nowMs - startedAtMs : WatchPacing.MIN_INTERVAL_MS;
                watchAfter(intervalMs, nowMs - receivedAtMs);
            }
        }
    }

    private void watchAfter(long intervalMs, long handlingMs) {
        if (intervalMs < WatchPacing.MIN_INTERVAL_MS) {
            log.rateLimited(
                    "discovery answers watches early", "after " + intervalMs + " ms"); // log line: on-call guide
        }
        long pauseMs = WatchPacing.pauseMs(intervalMs, handlingMs);
        if (pauseMs == 0) {
            poll();
        } else {
            schedulePoll(pauseMs);
        }
    }

    /** Returns whether the list can be watched from the revision of this answer; if not, it is fetched anew. */
    private boolean onAnswer(EndpointList list) {
        if (state == State.LOST) {
            log.line("discovery back after " + (clock.monotonicMs() - lostAtMs) + " ms, revision " + list.revision());
        }
        state = reachableState();
        backoffMs = FIRST_BACKOFF_MS;
        if (!list.leftOut().isEmpty()) {
            log.rateLimited("list entries left out", String.join(", ", list.leftOut()));
        }
        if (!continuesKnownRevision(list)) {
            putInForce(list, address); // its drains and removals apply nevertheless
            log.line("discovery went back from revision " + revision + " to " + list.revision() + ": asks for all");
            revision = NO_REVISION;
            state = reachableState();
            schedulePoll(FIRST_BACKOFF_MS);
            return false;
        }
        if (list.complete() || !list.entries().isEmpty() || list.revision() != revision) {
            putInForce(list, address);
        }
        revision = list.revision();
        state = reachableState();
        return true;
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

    /**
     * Returns whether the list is complete or an update of the known revision. An agent that has restarted counts its
     * revisions from the start, so its updates do not apply to the list that was received before.
     */
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
