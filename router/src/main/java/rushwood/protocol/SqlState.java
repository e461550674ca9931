package rushwood.protocol;

/**
 * The SQLSTATE codes that the router sends or tells apart, by their names in PostgreSQL's list of
 * error codes.
 */
public final class SqlState {
  /** The peer's bytes are no valid messages. */
  public static final String PROTOCOL_VIOLATION = "08P01";

  public static final String FEATURE_NOT_SUPPORTED = "0A000";

  /** A field of a statement's comment has a value that is not allowed. */
  public static final String INVALID_PARAMETER_VALUE = "22023";

  /** From a host: a write reached a replica. */
  public static final String READ_ONLY_SQL_TRANSACTION = "25006";

  /** The statement is not in one of the two forms that are served. */
  public static final String SYNTAX_ERROR = "42601";

  /** Nothing was run for want of room; trying again is harmless. */
  public static final String TOO_MANY_CONNECTIONS = "53300";

  public static final String QUERY_CANCELED = "57014";

  /** The router is starting or shutting down. */
  public static final String CANNOT_CONNECT_NOW = "57P03";

  /** The request failed, and may have run. */
  public static final String SYSTEM_ERROR = "58000";

  /** From a host: the replica's data is older than the read allows. */
  public static final String SNAPSHOT_TOO_OLD = "72000";

  private SqlState() {}
}
