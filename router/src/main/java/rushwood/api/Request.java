package rushwood.api;

import org.jspecify.annotations.Nullable;

/**
 * A read or write that a client requests.
 *
 * @param session the session whose writes the request has to see, null if it belongs to no session
 * @param deadline the clock time in nanoseconds at which the client stops waiting for an answer
 * @param sinceLastWriteNanos the time since the last commit of the session that its client knows
 *     of, 0 if it knows of none
 * @param fingerprint a hash of the request's key and class, which all tries of the request have in
 *     common; 0 if there is none
 * @param waitedNanos the Retry-After time that the client has waited before this try, 0 if none
 */
public record Request(
    RequestId id,
    RequestClass requestClass,
    @Nullable SessionId session,
    GroupId group,
    long deadline,
    long sinceLastWriteNanos,
    long fingerprint,
    long waitedNanos) {

  /** Creates a request without a fingerprint, whose client was not sent a Retry-After. */
  public Request(
      RequestId id,
      RequestClass requestClass,
      @Nullable SessionId session,
      GroupId group,
      long deadline,
      long sinceLastWriteNanos) {
    this(id, requestClass, session, group, deadline, sinceLastWriteNanos, 0, 0);
  }

  /** Returns whether the request has a fingerprint, by which its tries can be recognised. */
  public boolean hasFingerprint() {
    return fingerprint != 0;
  }

  /** Returns whether the client knows of an earlier commit of the session. */
  public boolean hasLastWrite() {
    return sinceLastWriteNanos != 0;
  }

  /** Returns a copy of this request with another {@link #waitedNanos()}. */
  public Request withWaited(long newWaitedNanos) {
    return new Request(
        id,
        requestClass,
        session,
        group,
        deadline,
        sinceLastWriteNanos,
        fingerprint,
        newWaitedNanos);
  }
}
