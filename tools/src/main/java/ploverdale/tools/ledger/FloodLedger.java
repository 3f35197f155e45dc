package ploverdale.tools.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ploverdale.tools.ledger.Ledger.Broken;
import ploverdale.tools.ledger.Ledger.Rule;

/**
 * Records when flooding clients closed their connections, and which of their requests were attempted after that. Safe
 * for use by several threads. Times are in ticks (a tenth of a millisecond).
 */
public final class FloodLedger {
    /** Begins the id of each request of a flooding client; the connection's number and a hyphen follow. */
    public static final String ID_PREFIX = "flood";

    /** No attempt may begin later than this after its client has closed the connection: 100 ms, and the ledger's slack. */
    private static final long GRACE_TICKS = 1500;

    private final Map<String, Long> leftAt = new HashMap<>(); // by the prefix of the connection's ids
    private final List<Broken> broken = new ArrayList<>();
    private int attempts;

    /** Returns whether the id belongs to a request of a flooding client. */
    public static boolean isFloodRequest(String id) {
        return id.startsWith(ID_PREFIX);
    }

    /** Called when the client whose request ids begin with this prefix is about to close its connection. */
    public synchronized void clientLeft(String idPrefix, long at) {
        leftAt.put(idPrefix, at);
    }

    /** Called when an attempt has arrived at a server. */
    public synchronized void attemptReceived(String id, long at) {
        attempts++;
        long left = leftAt.getOrDefault(id.substring(0, id.lastIndexOf('-') + 1), Long.MAX_VALUE);
        if (left < at - GRACE_TICKS) {
            broken.add(new Broken(
                    Rule.ONE_ANSWER_IN_TIME, id + " attempted " + (at - left) / 10 + " ms after its client left"));
        }
    }

    /** Returns the number of attempts for requests of flooding clients. */
    public synchronized int attempts() {
        return attempts;
    }

    /** Returns the rule violations so far. */
    public synchronized List<Broken> broken() {
        return List.copyOf(broken);
    }
}
