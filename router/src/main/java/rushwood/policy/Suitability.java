package rushwood.policy;

/** How well a host suits a read, best first. */
enum Suitability {
  /** Known to have applied what the read must see. */
  FRESH,
  /**
   * Has applied it, if it is no further behind than when it was last heard of; or nothing was heard
   * of it yet.
   */
  LIKELY_FRESH,
  /** Probably too far behind, but worth a try: hosts that are refuse the read or let it wait. */
  LAGGING,
  /** The primary, for reads that a replica could answer. */
  PRIMARY_FALLBACK,
  UNSUITABLE;

  Suitability betterOf(Suitability other) {
    return other.isAtLeast(this) ? other : this;
  }

  boolean isAtLeast(Suitability other) {
    return compareTo(other) <= 0;
  }
}
