package rushwood.protocol;

/**
 * The SQLSTATE codes that the router sends to clients or recognizes from hosts, under the names of
 * PostgreSQL's list of error codes.
 */
public final class SqlState {
  /** The input is malformed or violates the protocol in another way. */
  public static final String PROTOCOL_VIOLATION = "08P01";

  public static final String FEATURE_NOT_SUPPORTED = "0A000";

  /** A field in the comment of a statement has an invalid value. */
  public static final String INVALID_PARAMETER_VALUE = "22023";

  /** From a host: a write was sent to a replica. */
  public static final String READ_ONLY_SQL_TRANSACTION = "25006";

  /** The statement does not have one of the two supported forms. */
  public static final String SYNTAX_ERROR = "42601";

  /** Rejected or refused for lack of capacity; trying again is harmless. */
  public static final String TOO_MANY_CONNECTIONS = "53300";

  public static final String QUERY_CANCELED = "57014";

  /** The router is not ready yet or is shutting down. */
  public static final String CANNOT_CONNECT_NOW = "57P03";

  /** The request failed and may have been executed. */
  public static final String SYSTEM_ERROR = "58000";

  /** From a host: the replica lags too far behind for the read. */
  public static final String SNAPSHOT_TOO_OLD = "72000";

  private SqlState() {}
}
