package rushwood.testbed.standin;

import rushwood.testbed.model.TestbedRequestClass;

/**
 * A statement that reads or writes one key, with a comment of {@code name=value} pairs at its end.
 *
 * @param text the whole statement
 */
public record Statement(boolean isWrite, String key, String text) {
  private static final String COMMENT_START = "/* ";
  private static final String COMMENT_END = " */";

  /** Reads a statement that {@link #format} made. */
  public static Statement parse(String text) {
    int keyStart = text.indexOf('\'') + 1;
    String key = text.substring(keyStart, text.indexOf('\'', keyStart));
    return new Statement(text.startsWith("INSERT"), key, text);
  }

  /** The value of that name in the comment; empty if there is none. */
  public String commentValue(String name) {
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
   * The statement of a client's try.
   *
   * @param deadlineMillis how long the client waits for the answer
   */
  public static String format(
      TestbedRequestClass requestClass, String key, String id, long deadlineMillis, int group) {
    String comment =
        " "
            + COMMENT_START
            + "id="
            + id
            + ",c="
            + requestClass.wireName()
            + ",t=club,d="
            + deadlineMillis
            + ",cluster="
            + group
            + COMMENT_END;
    return requestClass.isWrite()
        ? "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x01') RETURNING val" + comment
        : "SELECT val FROM state WHERE uid = '" + key + "'" + comment;
  }
}
