package rushwood.overload;

/** A 64-bit hash: the output function of the SplitMix64 generator (Steele, Lea and Flood 2014). */
final class SplitMix64 {
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private SplitMix64() {}

  /** Returns the hash of a value. Different values have different hashes. */
  static long mix(long value) {
    long bits = value + GOLDEN_GAMMA;
    bits = (bits ^ bits >>> 30) * 0xbf58476d1ce4e5b9L;
    bits = (bits ^ bits >>> 27) * 0x94d049bb133111ebL;
    return bits ^ bits >>> 31;
  }
}
