package ploverdale.net.discovery;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.InetSocketAddress;

/**
 * Makes HTTP calls to the discovery agent over a small pool of connections. Sets no timer, repeats no call and does
 * not read what an answer says. Used on the event loop only.
 */
final class DiscoveryClient {
    /**
     * Calls that may be open at once. A connection that is not established must not delay a later call, and a call that
     * is overdue keeps its connection until a later one is answered or needs it.
     */
    static final int MAX_CONNECTIONS = 3;

    private static final int KEEP_ALIVE_SECONDS = 2; // of an idle connection; longer than the longest backoff
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int STATUS_OK = 200;

    private final HttpClient http;

    /** @param connectTimeoutMs within which a connection has to be established, in milliseconds */
    DiscoveryClient(Vertx vertx, long connectTimeoutMs) {
        http = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout((int) connectTimeoutMs)
                        .setTcpNoDelay(true)
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(MAX_CONNECTIONS));
    }

    /** What came of a call; at most one of the two is called, and none once the call has been ended. */
    interface Listener {
        /** The agent answered with status 200. */
        void onBody(String body);

        /** The call failed, or the agent answered with another status. */
        void onFailure(String reason);
    }

    /** A call that has not been started yet. */
    Call newCall(Listener listener) {
        return new Call(listener);
    }

    /** One GET, from its start to its answer, its failure, or the moment at which its answer is no longer wanted. */
    final class Call {
        private final Listener listener;
        private HttpClientRequest request; // null while there is no connection, and once the answer is complete
        private boolean ended;

        private Call(Listener listener) {
            this.listener = listener;
        }

        /** Sends the request; the listener may be called before this returns. */
        void start(InetSocketAddress address, String uri) {
            RequestOptions options = new RequestOptions()
                    .setMethod(HttpMethod.GET)
                    .setURI(uri)
                    .setHost(address.getAddress().getHostAddress())
                    .setPort(address.getPort());
            http.request(options).compose(this::send).onComplete(response -> {
                if (response.failed()) {
                    fail(String.valueOf(response.cause().getMessage()));
                } else {
                    collect(response.result());
                }
            });
        }

        /** Resets the request if it is open; the listener is not called any more. */
        void end() {
            ended = true;
            if (request != null) {
                request.reset();
            }
        }

        private Future<HttpClientResponse> send(HttpClientRequest connected) {
            if (ended) {
                connected.reset(); // a later call has taken its place
                return Future.failedFuture("not wanted any more");
            }
            request = connected;
            return connected.send();
        }

        private void collect(HttpClientResponse response) {
            Buffer body = Buffer.buffer();
            response.handler(chunk -> {
                if (body.length() + chunk.length() > MAX_BODY_BYTES) {
                    response.request().reset();
                } else {
                    body.appendBuffer(chunk);
                }
            });
            response.exceptionHandler(failure -> fail("broken off: " + failure.getMessage()));
            response.endHandler(x -> complete(response.statusCode(), body));
        }

        private void complete(int status, Buffer body) {
            request = null; // complete: there is nothing to reset, and its connection is free for the next call
            if (status != STATUS_OK) {
                fail("status " + status);
            } else if (!ended) {
                listener.onBody(body.toString());
            }
        }

        private void fail(String reason) {
            if (!ended) {
                listener.onFailure(reason);
            }
        }
    }
}
