package rushwood.protocol;

/**
 * The content of an ErrorResponse to a client.
 *
 * @param severity {@code FATAL} if the connection ends with it
 * @param sqlState one of {@link SqlState}
 * @param retryAfterNanos how long the client is asked to wait before it tries again; not positive
 *     if it is told nothing about that
 */
public record ErrorResponse(
    Severity severity, String sqlState, String message, long retryAfterNanos) {
  private static final long NO_RETRY_AFTER = 0;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** PostgreSQL's severities that the router uses; sent by their names. */
  public enum Severity {
    ERROR,
    FATAL
  }

  /** The statement is answered with an error; the connection goes on. */
  public static ErrorResponse error(String sqlState, String message) {
    return new ErrorResponse(Severity.ERROR, sqlState, message, NO_RETRY_AFTER);
  }

  /** The last message of a connection. */
  public static ErrorResponse fatal(String sqlState, String message) {
    return new ErrorResponse(Severity.FATAL, sqlState, message, NO_RETRY_AFTER);
  }

  /** What tells a client why its input was not accepted. */
  public static ErrorResponse of(ProtocolException cause) {
    Severity severity = cause.isFatal() ? Severity.FATAL : Severity.ERROR;
    return new ErrorResponse(severity, cause.sqlState(), cause.reason(), NO_RETRY_AFTER);
  }

  /** The same error, with the time after which the client may try again. */
  public ErrorResponse withRetryAfter(long nanos) {
    return new ErrorResponse(severity, sqlState, message, nanos);
  }

  /** Whether the client is told when to try again. */
  public boolean hasRetryAfter() {
    return retryAfterNanos > 0;
  }

  /** The wait as it is sent: whole milliseconds, rounded up. */
  long retryAfterMillis() {
    return (retryAfterNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
  }
}
