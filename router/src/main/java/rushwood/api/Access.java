package rushwood.api;

/**
 * One thing a client asks of the databases. {@code due} is the end of this try, {@code sinceWrite}
 * the time since the session's last commit as the client knows it, 0 for none. An absent session is
 * null. {@code mark} is the same for all tries of one thing, as far as can be told from key and
 * product, 0 if it cannot; {@code waited} is how long its client has stayed away on our word.
 */
public record Access(
    AccessId id,
    Product product,
    SessionId session,
    GroupId group,
    long due,
    long sinceWrite,
    long mark,
    long waited) {

  public Access(
      AccessId id, Product product, SessionId session, GroupId group, long due, long sinceWrite) {
    this(id, product, session, group, due, sinceWrite, 0, 0);
  }

  public Access afterWaiting(long nanos) {
    return new Access(id, product, session, group, due, sinceWrite, mark, nanos);
  }
}
