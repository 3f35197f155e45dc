package ploverdale.net.server;

import ploverdale.model.Event.Outcome;
import ploverdale.model.LoadReport;
import ploverdale.net.postgres.ResultRow;

/**
 * The result of an attempt or a health check.
 *
 * @param outcome never null
 * @param row the answer to a request that succeeded; null otherwise
 * @param answerReport the role and position that the answer carried, or null
 * @param loadReport the server's load report that arrived with the answer, or null
 * @param duration the time since the start of the attempt, in tenths of a millisecond, rounded up
 */
public record AttemptResult(
        Outcome outcome, ResultRow row, LoadReport answerReport, LoadReport loadReport, long duration) {}
