package ploverdale.net.client;

/** PostgreSQL SQLSTATE codes of the error responses to clients. */
final class SqlStates {
    static final String PROTOCOL_VIOLATION = "08P01";
    static final String FEATURE_NOT_SUPPORTED = "0A000";
    static final String INVALID_PARAMETER_VALUE = "22023";
    static final String DUPLICATE_OBJECT = "42710";
    /** A request or connection was rejected for lack of capacity; retrying it is safe. */
    static final String TOO_MANY_CONNECTIONS = "53300";

    static final String QUERY_CANCELED = "57014";
    static final String CANNOT_CONNECT_NOW = "57P03";
    /** A request failed, and it is not known whether it ran. */
    static final String SYSTEM_ERROR = "58000";

    private SqlStates() {}
}
