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
    private static final long MS = 10;
    private static final long LINE_INTERVAL = 10_000 * MS;

    private final Map<RejectionReason, Integer> counts = new EnumMap<>(RejectionReason.class);
    private long lastLineAt = LoadReport.UNKNOWN_TIME;

    /**
     * Counts a rejected datagram.
     *
     * @param from the number of the sender
     * @return a log line if one is due, or null
     */
    String record(long now, int from, RejectionReason reason) {
        counts.merge(reason, 1, Integer::sum);
        if (now - lastLineAt < LINE_INTERVAL) {
            return null;
        }
        lastLineAt = now;
        String all = counts.entrySet().stream()
                .map(entry -> entry.getValue() + " " + entry.getKey().logName())
                .sorted()
                .collect(Collectors.joining(", "));
        counts.clear();
        return "words of instances not read: " + all + ", the last of instance " + from;
    }
}
