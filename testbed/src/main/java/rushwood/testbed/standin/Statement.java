package rushwood.testbed.standin;

/** What a statement says: whether it writes, its key and the values of its comment. */
public record Statement(boolean write, String key, String text) {
  public static Statement parse(String text) {
    int from = text.indexOf('\'') + 1;
    return new Statement(
        text.startsWith("INSERT"), text.substring(from, text.indexOf('\'', from)), text);
  }

  /** A value of the comment, or an empty text. */
  public String commentValue(String name) {
    int comment = text.lastIndexOf("/* ");
    for (String pair : text.substring(comment + 3, text.length() - 3).split(",")) {
      if (pair.startsWith(name + "=")) {
        return pair.substring(name.length() + 1);
      }
    }
    return "";
  }

  /** The statement of a client's try. */
  public static String format(
      boolean write, String key, String id, String requestClass, long millis, int group) {
    String comment =
        " /* id=" + id + ",c=" + requestClass + ",t=club,d=" + millis + ",cluster=" + group + " */";
    return write
        ? "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x01') RETURNING val" + comment
        : "SELECT val FROM state WHERE uid = '" + key + "'" + comment;
  }
}
