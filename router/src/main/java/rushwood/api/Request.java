package rushwood.api;

/**
 * One thing a client asks of the databases. {@code due} is the end of this try, {@code sinceWrite}
 * the time since the session's last commit as the client knows it, 0 for none. An absent session is
 * null. {@code mark} is the same for all tries of one thing, as far as can be told from key and
 * product, 0 if it cannot; {@code waited} is how long its client has stayed away on our word.
 */
public record Request(
    RequestId id,
    RequestClass requestClass,
    SessionId session,
    GroupId group,
    long deadline,
    long sinceLastWriteNanos,
    long fingerprint,
    long waitedNanos) {

  public Request(
      RequestId id,
      RequestClass requestClass,
      SessionId session,
      GroupId group,
      long deadline,
      long sinceLastWriteNanos) {
    this(id, requestClass, session, group, deadline, sinceLastWriteNanos, 0, 0);
  }

  public Request afterWaiting(long nanos) {
    return new Request(
        id, requestClass, session, group, deadline, sinceLastWriteNanos, fingerprint, nanos);
  }
}
