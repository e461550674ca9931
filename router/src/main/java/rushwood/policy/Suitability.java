package rushwood.policy;

/** How well a host suits a read, best first. */
enum Suitability {
  /** Known to have applied what the read must see. */
  FRESH,
  /** Has applied it, if it is no further behind than when it was last heard of. */
  LIKELY_FRESH,
  /** May be too far behind, and says so itself. */
  LAGGING,
  /** The primary, for reads that a replica could answer. */
  PRIMARY_FALLBACK,
  UNSUITABLE;

  Suitability orBetter(Suitability other) {
    return other.isAtLeast(this) ? other : this;
  }

  boolean isAtLeast(Suitability other) {
    return compareTo(other) <= 0;
  }
}
