package ploverdale.tools.fleet;

import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.stand.ReconnectingClients;

/**
 * The result of running one fault schedule.
 *
 * @param broken the rule violations that the ledger found
 * @param requests all requests in the ledger, those of the reconnecting clients included
 * @param readsSent by the clients that stay with their gateway; the same holds for the next three
 * @param startDurationsMs how long each start of a gateway took until it served clients
 * @param log all log lines of the run, with their times and sources
 * @param reconnectingClients null if the workload has none
 * @param lateness by how much answers exceeded their timeouts, 0 for those in time, in microseconds
 * @param peakMemoryMb the largest resident memory of a gateway that ran at the end of the run
 */
public record FleetResult(
        FaultSchedule schedule,
        List<Ledger.Broken> broken,
        int requests,
        int readsSent,
        int readsSucceeded,
        int writesSent,
        int writesSucceeded,
        List<Long> startDurationsMs,
        List<String> log,
        ReconnectingClients reconnectingClients,
        Histogram lateness,
        long peakMemoryMb) {
    /** Returns the counts and start durations as one line. */
    public String figures() {
        return String.format(
                Locale.ROOT,
                "%d requests, reads succeeded %d of %d, writes %d of %d, starts %s ms",
                requests,
                readsSucceeded,
                readsSent,
                writesSucceeded,
                writesSent,
                startDurationsMs);
    }
}
