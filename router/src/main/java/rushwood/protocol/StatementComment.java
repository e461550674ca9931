package rushwood.protocol;

import io.netty.util.ByteProcessor;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushwood.api.GroupId;
import rushwood.api.RequestClass;
import rushwood.api.RequestId;

/**
 * The fields in the comment of a statement, as {@code name=value} pairs separated by commas. Fields
 * that the router does not know are ignored, and are sent to hosts as part of the statement.
 *
 * <p>Errors are reported by a {@link ProtocolException} that is not fatal: with {@link
 * SqlState#SYNTAX_ERROR} if the comment is malformed or a required field is missing, and with
 * {@link SqlState#INVALID_PARAMETER_VALUE} if the value of a field is invalid.
 */
final class StatementComment {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** For the name and for the value of a field. */
  private static final int MAX_FIELD_BYTES = 256;

  /** Far above the fields in use; limits the time that a statement takes to parse. */
  private static final int MAX_FIELDS = 256;

  /** Above the length of any request id in use. */
  private static final int MAX_ID_BYTES = 128;

  /** One hour; hosts and clients time out far earlier. */
  private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

  private static final long MAX_UNIX_TIME_MILLIS = Long.MAX_VALUE / NANOS_PER_MILLI;

  private static final byte[] COMMA = StatementScanner.ascii(",");
  private static final byte[] EQUALS = StatementScanner.ascii("=");

  private static final String ID_FIELD = "id";
  private static final String CLASS_FIELD = "c";
  private static final String GROUP_FIELD = "cluster";
  private static final String TIMEOUT_FIELD = "d"; // milliseconds
  private static final String LAST_WRITE_FIELD = "after"; // Unix time in milliseconds

  private static final Set<String> KNOWN_FIELDS =
      Set.of(ID_FIELD, CLASS_FIELD, GROUP_FIELD, TIMEOUT_FIELD, LAST_WRITE_FIELD);

  /** Stands for the value of a field that the router does not know. */
  private static final String IGNORED_VALUE = "";

  private static final boolean[] IS_FIELD_CHARACTER = fieldCharacters(); // by ASCII code
  private static final ByteProcessor FIELD_CHARACTERS =
      character -> character >= 0 && IS_FIELD_CHARACTER[character];

  private final Map<String, String> fields = new HashMap<>();
  private int timeoutStart;
  private int timeoutEnd;

  /** Reads one or more fields at the position of the scanner. */
  StatementComment(StatementScanner scanner) throws ProtocolException {
    do {
      readField(scanner);
    } while (scanner.tryConsume(COMMA));
  }

  private static boolean[] fieldCharacters() {
    boolean[] isAllowed = new boolean[128];
    Arrays.fill(isAllowed, '!', '~' + 1, true); // printable ASCII without the space
    "'\"*/=,;\\".chars().forEach(character -> isAllowed[character] = false);
    return isAllowed;
  }

  private void readField(StatementScanner scanner) throws ProtocolException {
    if (fields.size() == MAX_FIELDS) {
      throw StatementScanner.syntaxError("more than " + MAX_FIELDS + " fields");
    }
    String name = scanner.readToken(FIELD_CHARACTERS, MAX_FIELD_BYTES, "a field's name", "");
    scanner.expect(EQUALS);
    int valueStart = scanner.position();
    String value = readValue(scanner, name);
    if (fields.put(name, value) != null) {
      throw StatementScanner.syntaxError("the field " + name + " stands twice");
    }
    if (name.equals(TIMEOUT_FIELD)) {
      timeoutStart = valueStart;
      timeoutEnd = scanner.position();
    }
  }

  private static String readValue(StatementScanner scanner, String name) throws ProtocolException {
    if (KNOWN_FIELDS.contains(name)) {
      return scanner.readToken(FIELD_CHARACTERS, MAX_FIELD_BYTES, "the field ", name);
    }
    scanner.skipToken(FIELD_CHARACTERS, MAX_FIELD_BYTES, "the field ", name);
    return IGNORED_VALUE;
  }

  /** Returns the request class that the comment names, which must match the kind of statement. */
  RequestClass requestClass(List<RequestClass> requestClasses, boolean isWrite)
      throws ProtocolException {
    RequestClass requestClass =
        RequestClass.findByName(requestClasses, requireField(CLASS_FIELD))
            .orElseThrow(() -> invalidField(CLASS_FIELD, "names no product"));
    if (isWrite != requestClass.isWrite()) {
      throw invalidField(CLASS_FIELD, "does not go with the statement");
    }
    return requestClass;
  }

  RequestId id() throws ProtocolException {
    String id = requireField(ID_FIELD);
    if (id.length() > MAX_ID_BYTES) {
      throw invalidField(ID_FIELD, "is too long");
    }
    return new RequestId(id);
  }

  /** Returns the group, or {@link GroupId#UNKNOWN} if the comment does not name one. */
  GroupId group() throws ProtocolException {
    return fields.containsKey(GROUP_FIELD)
        ? new GroupId((int) parseNumber(GROUP_FIELD, Integer.MAX_VALUE))
        : GroupId.UNKNOWN;
  }

  /** Returns how long the client waits for the response: more than zero, at most one hour. */
  SqlStatement.Timeout timeout() throws ProtocolException {
    long nanos = parseNumber(TIMEOUT_FIELD, MAX_TIMEOUT_MILLIS) * NANOS_PER_MILLI;
    if (nanos == 0) {
      throw invalidField(TIMEOUT_FIELD, "leaves no time");
    }
    return new SqlStatement.Timeout(nanos, timeoutStart, timeoutEnd);
  }

  /**
   * Returns when the last write of the session was committed, as Unix time in nanoseconds, or 0 if
   * the comment does not say.
   */
  long lastWriteUnixNanos() throws ProtocolException {
    return fields.containsKey(LAST_WRITE_FIELD)
        ? parseNumber(LAST_WRITE_FIELD, MAX_UNIX_TIME_MILLIS) * NANOS_PER_MILLI
        : 0;
  }

  private long parseNumber(String field, long max) throws ProtocolException {
    try {
      long value = Long.parseLong(requireField(field));
      if (value >= 0 && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // handled below, like a number that is out of range
    }
    throw invalidField(field, "is no such number");
  }

  private String requireField(String field) throws ProtocolException {
    String value = fields.get(field);
    if (value == null) {
      throw StatementScanner.syntaxError("the field " + field + " is missing");
    }
    return value;
  }

  private static ProtocolException invalidField(String field, String reason) {
    return ProtocolException.rejected(
        SqlState.INVALID_PARAMETER_VALUE, "the field " + field + " " + reason);
  }
}
