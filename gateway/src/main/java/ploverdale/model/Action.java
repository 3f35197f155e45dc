package ploverdale.model;

/** All that a gateway can do. Times in tenths of a millisecond. */
public sealed interface Action {

    /** Send the op to a server and wait this long at most; not at all if it cannot be written by then, where that takes time. */
    record StartAttempt(RequestId request, ServerId server, long timeLimit, long writeBy) implements Action {}

    /** Stop waiting for a send. */
    record CancelAttempt(RequestId request, int send) implements Action {}

    /** Tell the client that trying again does no harm, and when; 0 names no time. */
    record RejectRequest(RequestId request, long retryAfter) implements Action {}

    /** Tell the client that the op failed, which promises nothing. */
    record FailRequest(RequestId request) implements Action {}

    /** Wake the gateway at this time. */
    record SetTimer(long at, long mark) implements Action {}

    /** Ask a server how it is. */
    record CheckHealth(ServerId server) implements Action {}

    /** Close the idle connections to a server. */
    record CloseIdleConnections(ServerId server) implements Action {}

    /** Ask for changes of the list from now on. */
    record WatchEndpoints() implements Action {}

    /** Send another gateway a message. */
    record SendGossip(int peer, byte[] bytes) implements Action {}

    /** Write a line to the log. */
    record LogLine(String text) implements Action {}
}
