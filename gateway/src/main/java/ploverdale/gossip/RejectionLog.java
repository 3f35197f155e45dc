package ploverdale.gossip;

import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;
import ploverdale.model.LoadReport;

/**
 * Counts rejected datagrams and reports the counts in a log line at most every ten seconds. Times in tenths of a
 * millisecond.
 */
final class RejectionLog {
    private static final long TICKS_PER_MS = 10;
    private static final long LOG_INTERVAL = 10_000 * TICKS_PER_MS;

    private final Map<RejectionReason, Integer> counts = new EnumMap<>(RejectionReason.class);
    private long lastLoggedAt = LoadReport.UNKNOWN_TIME;

    /**
     * Counts a rejected datagram.
     *
     * @param sender the number of the sender
     * @return a log line if one is due, or null
     */
    String record(long now, int sender, RejectionReason reason) {
        counts.merge(reason, 1, Integer::sum);
        if (now - lastLoggedAt < LOG_INTERVAL) {
            return null;
        }
        lastLoggedAt = now;
        String summary = counts.entrySet().stream()
                .map(entry -> entry.getValue() + " " + entry.getKey().logName())
                .sorted()
                .collect(Collectors.joining(", "));
        counts.clear();
        return "words of instances not read: " + summary + ", the last of instance " + sender;
    }
}
