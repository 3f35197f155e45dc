package ploverdale.net.server;

import java.util.HashMap;
import java.util.Map;
import ploverdale.model.Event.Outcome;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage;

/**
 * Collects the messages of one answer, and those that precede it, within fixed bounds of memory. An {@code accept} method returns
 * false, and keeps nothing, where the message is out of order. Holds no connection and closes none. Used on the event loop only.
 */
final class ServerResponse {
    /** Bound on notices and values received with one answer, or between two: a server that sends ever more is disconnected. */
    static final int MAX_ASYNCHRONOUS_MESSAGES = 1000;

    /** Bound on the names of values received with one answer; servers send a few. */
    static final int MAX_PARAMETERS = 64;

    private static final String READ_ONLY_TRANSACTION = "25006"; // a write that reached a replica
    private static final String TOO_MANY_CONNECTIONS = "53300"; // also: queue full, draining
    private static final String CANNOT_CONNECT_NOW = "57P03"; // starting up, or in recovery
    private static final String SNAPSHOT_TOO_OLD = "72000"; // a replica that is too far behind

    private final Map<String, String> parameters = new HashMap<>();
    private int asynchronousMessages;
    private ServerMessage.RowDescription column;
    private ServerMessage.DataRow value;
    private ServerMessage.CommandComplete completion;
    private ServerMessage.ErrorResponse error;

    /** Counts a message that may come at any time; false once there are too many. */
    boolean acceptAsynchronousMessage() {
        asynchronousMessages++;
        return asynchronousMessages <= MAX_ASYNCHRONOUS_MESSAGES;
    }

    /** Keeps a named value; false where there are too many. */
    boolean accept(ServerMessage.ParameterStatus message) {
        if (parameters.size() >= MAX_PARAMETERS) {
            return false;
        }
        parameters.put(message.name(), message.value());
        return true;
    }

    /** Keeps the column. */
    boolean accept(ServerMessage.RowDescription message) {
        if (column != null || isEnded()) {
            return false;
        }
        column = message;
        return true;
    }

    /** Keeps the value. */
    boolean accept(ServerMessage.DataRow message) {
        if (column == null || value != null || completion != null) {
            return false;
        }
        value = message;
        return true;
    }

    /** Keeps the end of a statement that succeeded. */
    boolean accept(ServerMessage.CommandComplete message) {
        if (isEnded()) {
            return false;
        }
        completion = message;
        return true;
    }

    /** Keeps the end of a statement that failed. */
    boolean accept(ServerMessage.ErrorResponse message) {
        if (isEnded()) {
            return false;
        }
        error = message;
        return true;
    }

    /** Whether the statement has ended, so that ReadyForQuery may follow. */
    boolean isEnded() {
        return completion != null || error != null;
    }

    /** Whether the result is known, also if the connection is lost before ReadyForQuery. */
    boolean isConclusive() {
        return error != null || completion != null && value != null;
    }

    /** Whether a column has been received. */
    boolean hasColumn() {
        return column != null;
    }

    /** Whether a row has been received. */
    boolean hasRow() {
        return value != null;
    }

    /** The value of the row, which must have been received; null for SQL's null. */
    byte[] value() {
        return value.bytes();
    }

    /** The row of a statement that succeeded. */
    ResultRow row() {
        return new ResultRow(column, value.bytes(), completion.tag());
    }

    /** The values by name, never null; to be read only. */
    Map<String, String> parameters() {
        return parameters;
    }

    /** Whether the statement failed. */
    boolean hasError() {
        return error != null;
    }

    /** Whether the server rejected the statement for lack of capacity, perhaps of connections. */
    boolean isRejection() {
        return error != null && TOO_MANY_CONNECTIONS.equals(error.code());
    }

    /** The outcome that belongs to the error, which must have been received. */
    Outcome errorOutcome(boolean healthCheck) {
        return switch (error.code()) {
            case TOO_MANY_CONNECTIONS -> Outcome.REJECTED;
            case CANNOT_CONNECT_NOW -> healthCheck ? Outcome.REJECTED : Outcome.FAILED;
            case READ_ONLY_TRANSACTION, SNAPSHOT_TOO_OLD -> Outcome.MISDIRECTED;
            default -> Outcome.FAILED;
        };
    }
}
