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
 * Makes HTTP calls to the discovery agent over a small pool of connections. Sets no timers, retries no calls and does
 * not parse answers. Used on the event loop only.
 */
final class DiscoveryClient {
    /**
     * Maximum number of calls in flight. There is more than one connection so that one that cannot be established does
     * not delay a later call; an overdue call keeps its connection until a later call is answered or needs the
     * connection.
     */
    static final int MAX_CONNECTIONS = 3;

    private static final int KEEP_ALIVE_SECONDS = 2; // for idle connections; longer than the maximum backoff
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int STATUS_OK = 200;

    private final HttpClient http;

    /** @param connectTimeoutMs the connect timeout, in milliseconds */
    DiscoveryClient(Vertx vertx, long connectTimeoutMs) {
        http = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout((int) connectTimeoutMs)
                        .setTcpNoDelay(true)
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(MAX_CONNECTIONS));
    }

    /**
     * Receives the result of a call. At most one of the methods is called, and none once the call has been cancelled.
     */
    interface Listener {
        /** Called with the body when the agent has answered with status 200. */
        void onBody(String body);

        /** Called when the call has failed, or the agent has answered with another status. */
        void onFailure(String reason);
    }

    /** Returns a call that has not been started yet. */
    Call newCall(Listener listener) {
        return new Call(listener);
    }

    /** One HTTP GET, from its start until it is answered, fails or is cancelled. */
    final class Call {
        private final Listener listener;
        private HttpClientRequest request; // null before a connection is assigned, and after the answer is complete
        private boolean cancelled;

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

        /** Cancels the call: resets the request if it is in flight. The listener is not called any more. */
        void cancel() {
            cancelled = true;
            if (request != null) {
                request.reset();
            }
        }

        private Future<HttpClientResponse> send(HttpClientRequest connected) {
            if (cancelled) {
                connected.reset(); // the call was cancelled while it waited for a connection
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
            response.endHandler(ignored -> complete(response.statusCode(), body));
        }

        private void complete(int status, Buffer body) {
            request = null; // there is nothing left to reset; the connection is available to the next call
            if (status != STATUS_OK) {
                fail("status " + status);
            } else if (!cancelled) {
                listener.onBody(body.toString());
            }
        }

        private void fail(String reason) {
            if (!cancelled) {
                listener.onFailure(reason);
            }
        }
    }
}
