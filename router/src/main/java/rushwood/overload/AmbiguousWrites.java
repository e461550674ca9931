package rushwood.overload;

import rushwood.api.Request;
import rushwood.api.RequestClass.Idempotency;

/**
 * Remembers, by fingerprint, writes that ended without an answer but may have been executed. If the
 * operator enables it, the controller fails a repeat of such a write without sending it.
 *
 * <p>A write stays ambiguous until both its deadline and its idempotency window have passed, or
 * until an outcome proves that it was not executed. If several writes of one fingerprint are
 * ambiguous, proof for one of them says nothing about the others, so the entry stays until it
 * expires.
 */
final class AmbiguousWrites {
  /** The ambiguity id of a request that was never added. */
  static final long NO_ID = 0;

  /**
   * Stored instead of an id if several ambiguous writes share a fingerprint. It equals the id of
   * none of them, so that resolving one does not remove the entry.
   */
  private static final long SEVERAL_WRITES = NO_ID;

  private final boolean enabled;
  private final FingerprintCache idByFingerprint;
  private long lastId = NO_ID;

  /** Creates an empty set; unless {@code enabled}, no write is ever ambiguous. */
  AmbiguousWrites(boolean enabled) {
    this.enabled = enabled;
    idByFingerprint = FingerprintCache.forRepeats(enabled);
  }

  /**
   * Returns whether an earlier write of the same fingerprint may have been or may yet be executed.
   */
  boolean hasEarlierAmbiguousWrite(long now, Request request) {
    return enabled && isUnsafeToRepeat(request) && isAmbiguous(now, request.fingerprint());
  }

  /**
   * Adds a request that ended without an answer and may have been executed. Reads and idempotent
   * writes are ignored.
   */
  void add(long now, TrackedRequest tracked) {
    Request request = tracked.request();
    if (!enabled || !isUnsafeToRepeat(request)) {
      return;
    }
    long windowEnd = now + request.requestClass().idempotencyWindowNanos();
    long expiresAt = Math.max(request.deadline(), windowEnd);
    long id = ++lastId;
    long storedId = isAmbiguous(now, request.fingerprint()) ? SEVERAL_WRITES : id;
    tracked.setAmbiguityId(id);
    idByFingerprint.put(request.fingerprint(), expiresAt, storedId, now);
  }

  /**
   * Removes a request that turned out not to have been executed, unless other ambiguous writes
   * share its fingerprint.
   */
  void resolve(long now, TrackedRequest tracked) {
    long fingerprint = tracked.request().fingerprint();
    long id = tracked.ambiguityId();
    if (id != NO_ID && idByFingerprint.get(fingerprint, now) == id) {
      idByFingerprint.remove(fingerprint);
    }
  }

  private boolean isAmbiguous(long now, long fingerprint) {
    return idByFingerprint.get(fingerprint, now) != FingerprintCache.ABSENT;
  }

  private static boolean isUnsafeToRepeat(Request request) {
    return request.requestClass().isWrite()
        && request.requestClass().idempotency() != Idempotency.IDEMPOTENT;
  }
}
