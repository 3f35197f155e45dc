package ploverdale.net;

import ploverdale.model.Event.RequestArrived;
import ploverdale.model.RequestId;
import ploverdale.net.client.ClientConnections;
import ploverdale.net.eventloop.RouterEventLoop;
import ploverdale.net.peer.ClientRequests;
import ploverdale.net.postgres.ResultRow;

/** Lets the replication of sessions and writes route and answer the requests of this gateway's clients. */
final class ClientRequestsAdapter implements ClientRequests {
    private static final long NO_RETRY_AFTER = 0;

    private final RouterEventLoop loop;
    private final ClientConnections clients;

    ClientRequestsAdapter(RouterEventLoop loop, ClientConnections clients) {
        this.loop = loop;
        this.clients = clients;
    }

    @Override
    public void route(RequestArrived request) {
        loop.enqueue(request);
    }

    @Override
    public boolean isPending(RequestId request) {
        return clients.requestInFlight(request) != null;
    }

    @Override
    public void succeeded(RequestId request, ResultRow row) {
        clients.succeed(request, row);
    }

    @Override
    public void succeededBefore(RequestId request, byte[] encodedRow) {
        clients.replay(request, encodedRow);
    }

    @Override
    public void failed(RequestId request) {
        clients.fail(request);
    }

    @Override
    public void rejected(RequestId request) {
        clients.reject(request, NO_RETRY_AFTER);
    }
}
