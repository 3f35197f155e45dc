package ploverdale.tools.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ploverdale.clock.Clock;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.stand.ListedServer;
import ploverdale.tools.stand.TestCluster;

/**
 * A fake discovery agent of one gateway. It keeps a copy of the registry's endpoint list, which may be outdated, and its
 * answers may be late, slow or missing. It reports to the ledger what each answer says about the servers once the answer is
 * written, and what the agent knows when a process of its gateway starts.
 */
final class DiscoveryAgent {
    /** Whether the agent follows the registry, and whether it answers. */
    enum State {
        /** Takes over each change of the registry at once, and answers. */
        PROMPT,
        /** Answers, but takes over no change. */
        BEHIND,
        /** Neither takes over changes nor answers. */
        SILENT
    }

    /** The number of pieces in which a trickled answer is written. */
    private static final int PIECES = 4;

    private final Vertx vertx;
    private final TestCluster cluster;
    private final Ledger ledger;
    private final String gateway;
    private final Map<String, Known> known = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private HttpServer server;
    private State state = State.PROMPT;
    private int revision;
    private long delayMs;
    private long pieceIntervalMs;

    /** True from the start of a gateway process that follows this agent until the agent's first answer is written. */
    private boolean awaitsFirstAnswer;

    /** A server's entry, and the revision in which the agent last saw it change. */
    private record Known(ListedServer server, int changedIn) {}

    /** A request that is answered when the list changes after the revision that the gateway has. */
    private record Watch(HttpServerResponse response, int gatewayRevision) {}

    DiscoveryAgent(Vertx vertx, TestCluster cluster, Ledger ledger, String gateway) {
        this.vertx = vertx;
        this.cluster = cluster;
        this.ledger = ledger;
        this.gateway = gateway;
    }

    /** Takes over the current list and listens on a free port of loopback. */
    Future<Void> open() {
        pullList();
        return vertx.createHttpServer()
                .requestHandler(this::onRequest)
                .listen(0, "127.0.0.1")
                .onSuccess(listening -> server = listening)
                .mapEmpty();
    }

    int port() {
        return server.actualPort();
    }

    /** Called when the registry's list has changed. */
    void listChanged() {
        if (state == State.PROMPT) {
            pullList();
        }
    }

    /** Changes the state. On a change to {@link State#PROMPT} the agent takes over the changes that it missed. */
    void setState(State next) {
        state = next;
        if (next == State.SILENT) {
            watches.clear();
            if (awaitsFirstAnswer) {
                ledger.forgetEndpointLists(gateway); // the new process cannot learn what this agent knows
            }
        } else if (next == State.PROMPT) {
            pullList();
        }
    }

    /** Delays answers that could be given at once; 0 ends the delay. */
    void setDelay(long ms) {
        delayMs = ms;
    }

    /** Writes answers in pieces with the given time between them; 0 writes them whole. */
    void setPieceInterval(long ms) {
        pieceIntervalMs = ms;
    }

    /** Called when a process of a gateway that follows this agent starts. */
    void processStarts() {
        awaitsFirstAnswer = true;
        if (state != State.SILENT) {
            known.values().forEach(entry -> report(entry.server()));
        }
    }

    private void pullList() {
        for (ListedServer listed : cluster.listedServers()) {
            Known before = known.get(listed.id());
            if (before == null || !before.server().equals(listed)) {
                known.put(listed.id(), new Known(listed, cluster.revision()));
            }
        }
        revision = cluster.revision();
        List<Watch> due =
                watches.stream().filter(w -> w.gatewayRevision() != revision).toList();
        watches.removeAll(due);
        due.forEach(watch -> answer(watch.response(), watch.gatewayRevision()));
    }

    private void onRequest(HttpServerRequest request) {
        String from = request.getParam("from");
        if (state == State.SILENT) {
            return;
        }
        if (from == null || Integer.parseInt(from) != revision) {
            answerLater(request.response(), from == null ? 0 : Integer.parseInt(from));
            return;
        }
        Watch watch = new Watch(request.response(), revision);
        watches.add(watch);
        vertx.setTimer(Math.max(1, Long.parseLong(request.getParam("hold_ms"))), x -> {
            if (watches.remove(watch)) {
                answer(watch.response(), watch.gatewayRevision());
            }
        });
    }

    private void answerLater(HttpServerResponse response, int from) {
        if (delayMs == 0) {
            answer(response, from);
            return;
        }
        vertx.setTimer(delayMs, x -> {
            if (state != State.SILENT) {
                answer(response, from);
            }
        });
    }

    /**
     * Answers with the changes since a revision.
     *
     * @param from the gateway's revision; the answer is the complete list if it is 0 or higher than this agent's revision
     */
    private void answer(HttpServerResponse response, int from) {
        boolean complete = from == 0 || from > revision;
        List<ListedServer> entries = known.values().stream()
                .filter(entry -> complete ? entry.server().isListed() : entry.changedIn() > from)
                .map(Known::server)
                .toList();
        List<String> rows = entries.stream()
                .map(entry -> cluster.endpointEntry(gateway, entry))
                .toList();
        String body = "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
                + String.join(",", rows) + "]}";
        int answeredRevision = revision;
        List<ListedServer> reported =
                complete ? known.values().stream().map(Known::server).toList() : entries;
        write(response, body, () -> {
            awaitsFirstAnswer = false;
            reported.forEach(entry -> report(entry, answeredRevision));
        });
    }

    private void write(HttpServerResponse response, String body, Runnable onWritten) {
        if (response.closed()) {
            return;
        }
        if (pieceIntervalMs == 0) {
            response.end(body).onSuccess(x -> onWritten.run());
            return;
        }
        response.putHeader("content-length", Integer.toString(body.length()));
        writePiece(response, body, 0, onWritten);
    }

    private void writePiece(HttpServerResponse response, String body, int offset, Runnable onWritten) {
        if (response.closed() || state == State.SILENT) {
            return;
        }
        int end = Math.min(body.length(), offset + body.length() / PIECES + 1);
        if (end == body.length()) {
            response.end(body.substring(offset)).onSuccess(x -> onWritten.run());
            return;
        }
        response.write(body.substring(offset, end));
        vertx.setTimer(Math.max(1, pieceIntervalMs), x -> writePiece(response, body, end, onWritten));
    }

    private void report(ListedServer entry) {
        report(entry, revision);
    }

    private void report(ListedServer entry, int inRevision) {
        if (entry.isServing()) {
            ledger.inServiceReported(gateway, entry.id(), inRevision);
        } else {
            ledger.outOfServiceReported(
                    gateway, entry.id(), inRevision, Clock.system().now());
        }
    }
}
