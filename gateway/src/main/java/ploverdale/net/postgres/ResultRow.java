package ploverdale.net.postgres;

/**
 * A complete answer: one column with one value.
 *
 * @param value null for SQL's null
 * @param tag of the CommandComplete message
 */
public record ResultRow(ServerMessage.RowDescription column, byte[] value, String tag) {}
