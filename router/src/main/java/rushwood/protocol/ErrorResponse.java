package rushwood.protocol;

/**
 * The content of an ErrorResponse message to a client.
 *
 * @param severity {@code FATAL} if the connection is closed after this error
 * @param sqlState one of {@link SqlState}
 * @param message the text for the client
 * @param retryAfterNanos the Retry-After: how long the client is asked to wait before it tries
 *     again, in nanoseconds; zero or negative if the error has none
 */
public record ErrorResponse(
    Severity severity, String sqlState, String message, long retryAfterNanos) {
  private static final long NO_RETRY_AFTER = 0;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The PostgreSQL severities that the router uses. The names of the constants are sent. */
  public enum Severity {
    ERROR,
    FATAL
  }

  /** Returns an error that ends a statement but not the connection, without a Retry-After. */
  public static ErrorResponse error(String sqlState, String message) {
    return new ErrorResponse(Severity.ERROR, sqlState, message, NO_RETRY_AFTER);
  }

  /** Returns an error after which the connection is closed, without a Retry-After. */
  public static ErrorResponse fatal(String sqlState, String message) {
    return new ErrorResponse(Severity.FATAL, sqlState, message, NO_RETRY_AFTER);
  }

  /** Returns the error that tells a client why its input was not accepted. */
  public static ErrorResponse of(ProtocolException cause) {
    Severity severity = cause.isFatal() ? Severity.FATAL : Severity.ERROR;
    return new ErrorResponse(severity, cause.sqlState(), cause.reason(), NO_RETRY_AFTER);
  }

  /** Returns a copy of this error with a Retry-After, in nanoseconds. */
  public ErrorResponse withRetryAfter(long nanos) {
    return new ErrorResponse(severity, sqlState, message, nanos);
  }

  /** Returns whether this error has a Retry-After. */
  public boolean hasRetryAfter() {
    return retryAfterNanos > 0;
  }

  /** Returns the Retry-After as sent: in whole milliseconds, rounded up. */
  long retryAfterMillis() {
    return (retryAfterNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
  }
}
