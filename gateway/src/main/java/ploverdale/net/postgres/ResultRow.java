package ploverdale.net.postgres;

/**
 * The complete result of a request: one row with one column.
 *
 * @param value the value; null for SQL NULL
 * @param tag the command tag of the CommandComplete message
 */
public record ResultRow(ServerMessage.RowDescription column, byte[] value, String tag) {}
