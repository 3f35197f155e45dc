package ploverdale;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Answers the queries that a fake database server receives, on a thread of its own, and records their texts. */
final class AnsweringServer implements AutoCloseable {
    private static final long POLL_MS = 50;

    /** How a query is answered. */
    interface Reply {
        void to(ReceivedQuery query) throws IOException;
    }

    /** Texts of all queries received, in order of arrival. */
    final List<String> queries = new CopyOnWriteArrayList<>();

    private final FakeDatabaseServer server;
    private final Reply reply;
    private volatile boolean closed;

    AnsweringServer(FakeDatabaseServer server, Reply reply) {
        this.server = server;
        this.reply = reply;
        Thread answers = new Thread(this::run, "answering-server");
        answers.setDaemon(true);
        answers.start();
    }

    private void run() {
        try {
            while (!closed) {
                ReceivedQuery query = server.pendingQueries.poll(POLL_MS, TimeUnit.MILLISECONDS);
                if (query != null) {
                    answer(query);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(ReceivedQuery query) {
        queries.add(query.text());
        try {
            reply.to(query);
        } catch (IOException e) {
            return; // the gateway has cancelled this attempt
        }
    }

    /** Returns the number of attempts received for the request with this id. */
    long attempts(String id) {
        return queries.stream().filter(text -> text.contains("id=" + id + ",")).count();
    }

    @Override
    public void close() {
        closed = true;
    }
}
