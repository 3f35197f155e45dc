package ploverdale.tools.fleet;

import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import ploverdale.tools.ledger.Ledger;
import ploverdale.tools.stand.ReconnectingClients;

/**
 * What came of a day.
 *
 * @param late by how much answers came after their time, 0 for those in time, in microseconds
 */
public record FleetResult(
        FaultSchedule day,
        List<Ledger.Broken> broken,
        int requests,
        int readsAsked,
        int readsAcked,
        int writesAsked,
        int writesAcked,
        List<Long> startsMs,
        List<String> log,
        ReconnectingClients roamers,
        Histogram late) {
    /** A line of figures. */
    public String figures() {
        return String.format(
                Locale.ROOT,
                "%d ops, reads acked %d of %d, writes %d of %d, starts %s ms",
                requests,
                readsAcked,
                readsAsked,
                writesAcked,
                writesAsked,
                startsMs);
    }
}
