package rushwood.policy;

/** How well a host suits a read, best first. */
enum Suitability {
  /** Known to have applied what the read must see, or, for a long read, meant to take it. */
  FRESH,
  /**
   * Has applied what the read must see if its lag has not grown since its last position report, or
   * has reported no position.
   */
  LIKELY_FRESH,
  /** Probably too far behind, but may be asked: such a host refuses the read or delays it. */
  LAGGING,
  /** The primary, for a read that a replica could answer. */
  PRIMARY_FALLBACK,
  /** Must not get the read now. */
  UNSUITABLE;

  Suitability betterOf(Suitability other) {
    return other.isAtLeast(this) ? other : this;
  }

  boolean isAtLeast(Suitability other) {
    return compareTo(other) <= 0;
  }
}
