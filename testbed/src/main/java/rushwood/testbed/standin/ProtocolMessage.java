package rushwood.testbed.standin;

import java.util.Optional;

/**
 * A message of PostgreSQL's protocol 3.
 *
 * @param type its type byte, {@link #STARTUP} for the first message of a client, which has none
 * @param body its body, each byte a character
 */
public record ProtocolMessage(char type, String body) {
  /** The type given to the startup message. */
  public static final char STARTUP = 0;

  public static final char QUERY = 'Q';
  public static final char DATA_ROW = 'D';
  public static final char ERROR_RESPONSE = 'E';
  public static final char READY_FOR_QUERY = 'Z';

  /** The field of an error response that tells its severity. */
  public static final char SEVERITY_FIELD = 'S';

  /** The field of an error response that has its SQLSTATE. */
  public static final char SQL_STATE_FIELD = 'C';

  /** The field of an error response that has the Retry-After of a rejection, in milliseconds. */
  public static final char DETAIL_FIELD = 'D';

  /** A field of an error response. */
  public Optional<String> errorField(char name) {
    for (int at = 0; at < body.length() && body.charAt(at) != 0; ) {
      int end = body.indexOf('\0', at);
      if (body.charAt(at) == name) {
        return Optional.of(body.substring(at + 1, end));
      }
      at = end + 1;
    }
    return Optional.empty();
  }
}
