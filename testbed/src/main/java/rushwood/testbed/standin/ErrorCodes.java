package rushwood.testbed.standin;

/**
 * The error codes (SQLSTATEs) that stand-in hosts send and clients understand. They share no code
 * with the router's own, so that a fault there is not hidden by the same fault here.
 */
public final class ErrorCodes {
  /** too_many_connections: a host is overloaded, or a router rejects a request. */
  public static final String TOO_MANY_CONNECTIONS = "53300";

  /** cannot_connect_now: a router that stops rejects a request. */
  public static final String CANNOT_CONNECT_NOW = "57P03";

  /** read_only_sql_transaction: a write came to a replica. */
  public static final String READ_ONLY_TRANSACTION = "25006";

  /** snapshot_too_old: a replica lags too far for a read. */
  public static final String SNAPSHOT_TOO_OLD = "72000";

  private ErrorCodes() {}

  /** Whether a router says by it that the request has not run and may be tried again. */
  public static boolean isRejection(String sqlState) {
    return TOO_MANY_CONNECTIONS.equals(sqlState) || CANNOT_CONNECT_NOW.equals(sqlState);
  }
}
