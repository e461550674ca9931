package rushwood.testbed.standin;

import rushwood.testbed.model.TestbedRequestClass;

/**
 * A statement that reads or writes one key, with a comment of {@code name=value} pairs at its end.
 *
 * @param key the key that the statement reads or writes
 * @param text the whole statement with its comment
 */
public record Statement(boolean isWrite, String key, String text) {
  private static final String ID_FIELD = "id";
  private static final String CLASS_FIELD = "c";
  private static final String TENANT_FIELD = "t";
  private static final String TIMEOUT_MILLIS_FIELD = "d";
  private static final String GROUP_FIELD = "cluster";
  private static final String TENANT = "club"; // any value; the router ignores it
  private static final String COMMENT_START = "/* ";
  private static final String COMMENT_END = " */";

  /** Parses a statement that {@link #format} returned. */
  public static Statement parse(String text) {
    int keyStart = text.indexOf('\'') + 1;
    String key = text.substring(keyStart, text.indexOf('\'', keyStart));
    return new Statement(text.startsWith("INSERT"), key, text);
  }

  /** Returns the id of the client's try; empty if the comment has none. */
  public String id() {
    return commentValue(ID_FIELD);
  }

  /** Returns the name of the request class; empty if the comment has none. */
  String requestClassName() {
    return commentValue(CLASS_FIELD);
  }

  /** Returns the value of a name in the comment; empty if the comment does not have the name. */
  String commentValue(String name) {
    int commentStart = text.lastIndexOf(COMMENT_START) + COMMENT_START.length();
    String comment = text.substring(commentStart, text.length() - COMMENT_END.length());
    for (String pair : comment.split(",")) {
      if (pair.startsWith(name + "=")) {
        return pair.substring(name.length() + 1);
      }
    }
    return "";
  }

  /**
   * Formats the statement of a client's try.
   *
   * @param id the id of the try, which is its request id at the router
   * @param timeoutMillis how long the client waits for the answer
   * @param group the number of the group of hosts that has the key
   */
  public static String format(
      TestbedRequestClass requestClass, String key, String id, long timeoutMillis, int group) {
    String comment =
        String.join(
            ",",
            ID_FIELD + "=" + id,
            CLASS_FIELD + "=" + requestClass.wireName(),
            TENANT_FIELD + "=" + TENANT,
            TIMEOUT_MILLIS_FIELD + "=" + timeoutMillis,
            GROUP_FIELD + "=" + group);
    String statement =
        requestClass.isWrite()
            ? "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x01') RETURNING val "
            : "SELECT val FROM state WHERE uid = '" + key + "' ";
    return statement + COMMENT_START + comment + COMMENT_END;
  }
}
