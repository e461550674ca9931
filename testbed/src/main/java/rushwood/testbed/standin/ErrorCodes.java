package rushwood.testbed.standin;

/**
 * The error codes (SQLSTATEs) that stand-in hosts send and the testbed's clients understand. They
 * are defined independently of the router's constants, so that an error there is not hidden by the
 * same error here.
 */
public final class ErrorCodes {
  /** too_many_connections: the host is overloaded, or the router rejects the request. */
  public static final String TOO_MANY_CONNECTIONS = "53300";

  /** cannot_connect_now: the router is shutting down and rejects the request. */
  public static final String CANNOT_CONNECT_NOW = "57P03";

  /** read_only_sql_transaction: the request is a write and the host is a replica. */
  public static final String READ_ONLY_TRANSACTION = "25006";

  /** snapshot_too_old: the host is a replica that lags too far behind for the read. */
  public static final String SNAPSHOT_TOO_OLD = "72000";

  private ErrorCodes() {}

  /** Returns whether a router sends the code with a rejection: trying again is harmless. */
  public static boolean isRejection(String sqlState) {
    return TOO_MANY_CONNECTIONS.equals(sqlState) || CANNOT_CONNECT_NOW.equals(sqlState);
  }
}
