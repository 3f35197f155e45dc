package ploverdale.net.server;

import java.util.HashMap;
import java.util.Map;
import ploverdale.model.Event.Outcome;
import ploverdale.net.postgres.ResultRow;
import ploverdale.net.postgres.ServerMessage;

/**
 * Collects the messages of one answer, and those that precede it, in bounded memory. An {@code accept} method returns
 * false, and stores nothing, if the message is out of order. Used on the event loop only.
 */
final class ServerResponse {
    /**
     * Maximum number of notices and parameters from one request to the next. A server that sends more is disconnected.
     */
    static final int MAX_ASYNCHRONOUS_MESSAGES = 1000;

    /** Maximum number of parameters from one request to the next; servers normally send a few. */
    static final int MAX_PARAMETERS = 64;

    private static final String READ_ONLY_TRANSACTION = "25006"; // a write has reached a replica
    private static final String TOO_MANY_CONNECTIONS = "53300"; // also sent by a server that is overloaded or draining
    private static final String CANNOT_CONNECT_NOW = "57P03"; // the server is starting up or in recovery
    private static final String SNAPSHOT_TOO_OLD = "72000"; // the replica is too far behind

    private final Map<String, String> parameters = new HashMap<>();
    private int asynchronousMessages;
    private ServerMessage.RowDescription column;
    private ServerMessage.DataRow value;
    private ServerMessage.CommandComplete completion;
    private ServerMessage.ErrorResponse error;

    /** Counts a message that the server may send at any time; returns false if there have been too many. */
    boolean acceptAsynchronousMessage() {
        asynchronousMessages++;
        return asynchronousMessages <= MAX_ASYNCHRONOUS_MESSAGES;
    }

    /** Stores a parameter; returns false if there have been too many. */
    boolean accept(ServerMessage.ParameterStatus message) {
        if (parameters.size() >= MAX_PARAMETERS) {
            return false;
        }
        parameters.put(message.name(), message.value());
        return true;
    }

    /** Stores the description of the column. */
    boolean accept(ServerMessage.RowDescription message) {
        if (column != null || isEnded()) {
            return false;
        }
        column = message;
        return true;
    }

    /** Stores the row, which has one value. */
    boolean accept(ServerMessage.DataRow message) {
        if (column == null || value != null || completion != null) {
            return false;
        }
        value = message;
        return true;
    }

    /** Stores the completion of a statement that succeeded. */
    boolean accept(ServerMessage.CommandComplete message) {
        if (isEnded()) {
            return false;
        }
        completion = message;
        return true;
    }

    /** Stores the error of a statement that failed. */
    boolean accept(ServerMessage.ErrorResponse message) {
        if (isEnded()) {
            return false;
        }
        error = message;
        return true;
    }

    /** Returns whether the statement has ended, so that ReadyForQuery may follow. */
    boolean isEnded() {
        return completion != null || error != null;
    }

    /**
     * Returns whether the result is complete, so that it can be used even if the connection is lost before
     * ReadyForQuery.
     */
    boolean isConclusive() {
        return error != null || completion != null && value != null;
    }

    /** Returns whether the description of the column has been received. */
    boolean hasColumn() {
        return column != null;
    }

    /** Returns whether a row has been received. */
    boolean hasRow() {
        return value != null;
    }

    /** Returns the value in the row, which must have been received; null for an SQL NULL. */
    byte[] value() {
        return value.bytes();
    }

    /** Returns the row of a statement that succeeded. The row must have been received. */
    ResultRow row() {
        return new ResultRow(column, value.bytes(), completion.tag());
    }

    /** Releases the value, which may be large, once the answer has been used. */
    void releaseValue() {
        value = null;
    }

    /** Returns the parameters by name; never null. To be read only. */
    Map<String, String> parameters() {
        return parameters;
    }

    /** Returns whether the statement failed. */
    boolean hasError() {
        return error != null;
    }

    /**
     * Returns whether the server rejected the statement for lack of capacity, possibly because it has too many
     * connections.
     */
    boolean isRejection() {
        return error != null && TOO_MANY_CONNECTIONS.equals(error.code());
    }

    /** Returns the outcome for the error, which must have been received. */
    Outcome errorOutcome(boolean healthCheck) {
        return switch (error.code()) {
            case TOO_MANY_CONNECTIONS -> Outcome.REJECTED;
            case CANNOT_CONNECT_NOW -> healthCheck ? Outcome.REJECTED : Outcome.FAILED;
            case READ_ONLY_TRANSACTION, SNAPSHOT_TOO_OLD -> Outcome.MISDIRECTED;
            default -> Outcome.FAILED;
        };
    }
}
