package ploverdale.net.client;

/** Tracks what the gateway's start and shutdown currently allow on client connections. Used on the event loop only. */
final class ServiceStatus {
    private boolean serving;
    private boolean closingIdle;
    private boolean readingStopped;

    /** Returns whether queries are run; before that, they are held. */
    boolean isServing() {
        return serving;
    }

    /** Returns whether each connection is closed as soon as it is idle, as in a graceful shutdown. */
    boolean isClosingIdle() {
        return closingIdle;
    }

    /** Returns whether reading from all clients has been stopped. */
    boolean isReadingStopped() {
        return readingStopped;
    }

    void startServing() {
        serving = true;
    }

    void startClosingIdle() {
        closingIdle = true;
    }

    void stopReading() {
        readingStopped = true;
    }
}
