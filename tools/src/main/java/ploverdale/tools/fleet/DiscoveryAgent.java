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
 * One discovery agent of one gateway: a copy of the registry's list, which may be behind, and answers that may be late, slow or
 * none. The ledger hears what each answer tells once it is written, and what the agent has when a process of its gateway starts.
 */
final class DiscoveryAgent {
    /** How it learns and answers. */
    enum State {
        /** Learns each change at once. */
        PROMPT,
        /** Answers, but learns no change. */
        BEHIND,
        /** Learns nothing and answers nothing. */
        SILENT
    }

    private static final int PIECES = 4; // of an answer that trickles

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
    private long pieceMs;
    private boolean awaitsFirstAnswer; // of the latest process of its gateway, which it was the agent of

    private record Known(ListedServer server, int changedIn) {}

    private record Watch(HttpServerResponse response, int from) {}

    DiscoveryAgent(Vertx vertx, TestCluster cluster, Ledger ledger, String gateway) {
        this.vertx = vertx;
        this.cluster = cluster;
        this.ledger = ledger;
        this.gateway = gateway;
    }

    /** Listens at a free port. */
    Future<Void> open() {
        learn();
        return vertx.createHttpServer()
                .requestHandler(this::onRequest)
                .listen(0, "127.0.0.1")
                .onSuccess(listening -> server = listening)
                .mapEmpty();
    }

    /** Where it listens. */
    int port() {
        return server.actualPort();
    }

    /** The registry's list has changed. */
    void listChanged() {
        if (state == State.PROMPT) {
            learn();
        }
    }

    /** Behaves like this from now on; one that is prompt again learns at once what it missed. */
    void state(State next) {
        state = next;
        if (next == State.SILENT) {
            watches.clear();
            if (awaitsFirstAnswer) {
                ledger.forgetsLists(gateway); // nobody can tell the new process what this agent has
            }
        } else if (next == State.PROMPT) {
            learn();
        }
    }

    /** Answers so much later from now on. */
    void delay(long ms) {
        delayMs = ms;
    }

    /** Writes its answers in pieces from now on, so much after each other. */
    void trickle(long ms) {
        pieceMs = ms;
    }

    /** A process of its gateway starts. */
    void processStarts() {
        awaitsFirstAnswer = true;
        if (state != State.SILENT) {
            known.values().forEach(entry -> tell(entry.server()));
        }
    }

    private void learn() {
        for (ListedServer listed : cluster.listedServers()) {
            Known before = known.get(listed.id());
            if (before == null || !before.server().equals(listed)) {
                known.put(listed.id(), new Known(listed, cluster.revision()));
            }
        }
        revision = cluster.revision();
        List<Watch> due = watches.stream().filter(w -> w.from() != revision).toList();
        watches.removeAll(due);
        due.forEach(watch -> answer(watch.response(), watch.from()));
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
                answer(watch.response(), watch.from());
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

    /** The changes since that revision; the complete list where there was none, or one that this agent has not seen yet. */
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
        int told = revision;
        List<ListedServer> tells =
                complete ? known.values().stream().map(Known::server).toList() : entries;
        write(response, body, () -> {
            awaitsFirstAnswer = false;
            tells.forEach(entry -> tell(entry, told));
        });
    }

    private void write(HttpServerResponse response, String body, Runnable written) {
        if (response.closed()) {
            return;
        }
        if (pieceMs == 0) {
            response.end(body).onSuccess(x -> written.run());
            return;
        }
        response.putHeader("content-length", Integer.toString(body.length()));
        writePiece(response, body, 0, written);
    }

    private void writePiece(HttpServerResponse response, String body, int from, Runnable written) {
        if (response.closed() || state == State.SILENT) {
            return;
        }
        int to = Math.min(body.length(), from + body.length() / PIECES + 1);
        if (to == body.length()) {
            response.end(body.substring(from)).onSuccess(x -> written.run());
            return;
        }
        response.write(body.substring(from, to));
        vertx.setTimer(Math.max(1, pieceMs), x -> writePiece(response, body, to, written));
    }

    private void tell(ListedServer entry) {
        tell(entry, revision);
    }

    private void tell(ListedServer entry, int inRevision) {
        if (entry.isServing()) {
            ledger.toldInService(gateway, entry.id(), inRevision);
        } else {
            ledger.toldOutOfService(
                    gateway, entry.id(), inRevision, Clock.system().now());
        }
    }
}
