package ploverdale.net.server;

import io.vertx.core.buffer.Buffer;

/** Encodes the message that an attempt writes once its connection is ready. */
@FunctionalInterface
public interface RequestEncoder {

    /**
     * Returns the bytes to write, never null. Called on the event loop.
     *
     * @param timeoutMs the time that the server has for the request, in milliseconds, at least 1
     */
    Buffer encode(long timeoutMs);
}
