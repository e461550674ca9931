package rushwood.api;

import org.jspecify.annotations.Nullable;

/**
 * One read or write that a client asks for.
 *
 * @param session the session whose writes the request has to see, null if there is none
 * @param deadline the clock time at which the client stops waiting
 * @param sinceLastWriteNanos the time since the last commit of the session as its client knows it,
 *     0 if there was none
 * @param fingerprint the same for all tries of the same request, as far as key and class tell, 0 if
 *     they do not
 * @param waitedNanos how long its client has stayed away because a Retry-After told it to
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

  /** A request without a fingerprint whose client was not told to wait. */
  public Request(
      RequestId id,
      RequestClass requestClass,
      @Nullable SessionId session,
      GroupId group,
      long deadline,
      long sinceLastWriteNanos) {
    this(id, requestClass, session, group, deadline, sinceLastWriteNanos, 0, 0);
  }

  /** Whether the fingerprint tells the tries of this request from other requests. */
  public boolean hasFingerprint() {
    return fingerprint != 0;
  }

  /** Whether the client knows of an earlier commit of the session. */
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
