package rushwood.testbed.standin;

import java.util.Optional;

/**
 * A message of PostgreSQL's protocol 3.
 *
 * @param type the type byte; {@link #STARTUP} for the first message of a client, which has none
 * @param body the bytes after the length, each as a character
 */
public record ProtocolMessage(char type, String body) {
  /** Stands for the type of the StartupMessage, which has no type byte. */
  public static final char STARTUP = 0;

  public static final char QUERY = 'Q';
  public static final char DATA_ROW = 'D';
  public static final char ERROR_RESPONSE = 'E';
  public static final char READY_FOR_QUERY = 'Z';

  /** The ErrorResponse field that holds the severity. */
  public static final char SEVERITY_FIELD = 'S';

  /** The ErrorResponse field that holds the SQLSTATE. */
  public static final char SQL_STATE_FIELD = 'C';

  /** The ErrorResponse field in which a router puts the Retry-After of a rejection, in ms. */
  public static final char DETAIL_FIELD = 'D';

  /** Returns a field of an ErrorResponse; empty if the message does not have it. */
  public Optional<String> errorField(char name) {
    for (int start = 0; start < body.length() && body.charAt(start) != 0; ) {
      int end = body.indexOf('\0', start);
      if (body.charAt(start) == name) {
        return Optional.of(body.substring(start + 1, end));
      }
      start = end + 1;
    }
    return Optional.empty();
  }
}
