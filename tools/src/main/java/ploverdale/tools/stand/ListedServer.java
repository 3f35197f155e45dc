package ploverdale.tools.stand;

/** What the list says of a server; one that was removed is DELETED. */
public record ListedServer(String id, String phase, long startedAtMs) {
    /** Whether it may get new requests. */
    public boolean isServing() {
        return phase.equals("SERVING");
    }

    /** Whether a complete list names it. */
    public boolean isListed() {
        return !phase.equals("DELETED");
    }
}
