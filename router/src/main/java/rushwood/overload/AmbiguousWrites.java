package rushwood.overload;

import rushwood.api.Request;
import rushwood.api.RequestClass.Idempotency;

/**
 * Writes that ended without an answer while they may have been executed, by fingerprint. Where the
 * operator wants it, a repeat of such a write is failed unsent.
 *
 * <p>A write stays ambiguous until its deadline and its idempotency window are over, or until proof
 * comes that it was not executed. Where several writes of one fingerprint are ambiguous, proof for
 * one of them says nothing of the others, so that only time ends them.
 */
final class AmbiguousWrites {
  /** The id of a request that is not ambiguous. */
  static final long NO_ID = 0;

  /** The value of a fingerprint that several writes share; no write that is resolved has it. */
  private static final long SEVERAL_WRITES = NO_ID;

  private final boolean enabled;
  private final FingerprintCache idByFingerprint;
  private long lastId = NO_ID;

  /** Creates an empty set; if it is not {@code enabled} no write is ever ambiguous. */
  AmbiguousWrites(boolean enabled) {
    this.enabled = enabled;
    idByFingerprint = FingerprintCache.forRepeats(enabled);
  }

  /** Whether an earlier write of that fingerprint may have been executed, or may still be. */
  boolean hasEarlierAmbiguousWrite(long now, Request request) {
    return enabled && isUnsafeToRepeat(request) && isAmbiguous(now, request.fingerprint());
  }

  /** Remembers a request that ended without an answer and may have been executed. */
  void add(long now, TrackedRequest tracked) {
    Request request = tracked.request();
    if (!enabled || !isUnsafeToRepeat(request)) {
      return;
    }
    long windowEnd = now + request.requestClass().idempotencyWindowNanos();
    long expiresAt = Math.max(request.deadline(), windowEnd);
    long id = ++lastId;
    long remembered = isAmbiguous(now, request.fingerprint()) ? SEVERAL_WRITES : id;
    tracked.setAmbiguityId(id);
    idByFingerprint.put(request.fingerprint(), expiresAt, remembered, now);
  }

  /** The request was not executed: forgets it, unless others share its fingerprint. */
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
