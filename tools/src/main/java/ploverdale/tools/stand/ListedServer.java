package ploverdale.tools.stand;

/**
 * A server's entry in the endpoint list.
 *
 * @param phase SERVING, DRAINING, or DELETED once the server is removed
 * @param startedAtMs time of its last start in milliseconds, 0 if it was not restarted during the run
 */
public record ListedServer(String id, String phase, long startedAtMs) {
    /** Returns whether it may be sent new requests. */
    public boolean isServing() {
        return phase.equals("SERVING");
    }

    /** Returns whether a complete list contains it. */
    public boolean isListed() {
        return !phase.equals("DELETED");
    }
}
