package ploverdale.net.client;

/** What the gateway's start and shutdown allow on client connections. Used on the event loop only. */
final class ServiceStatus {
    private boolean serving;
    private boolean closingIdle;
    private boolean readingStopped;

    /** Whether queries are run; until then they are held. */
    boolean isServing() {
        return serving;
    }

    /** Whether each connection is closed as soon as its client waits for nothing, as in a graceful shutdown. */
    boolean isClosingIdle() {
        return closingIdle;
    }

    /** Whether nothing more is read from any client. */
    boolean isReadingStopped() {
        return readingStopped;
    }

    /** From now on queries are run. */
    void startServing() {
        serving = true;
    }

    /** From now on connections are closed once they are idle. */
    void startClosingIdle() {
        closingIdle = true;
    }

    /** From now on nothing is read. */
    void stopReading() {
        readingStopped = true;
    }
}
