package rushwood.api;

/**
 * How a shot ended: whether the host itself said so, and whether that end proves that it never ran.
 * SPOILT: it answered, but what came cannot be read.
 */
public enum ShotEnd {
  FULFILLED(true, false),
  ERROR(true, false),
  SPOILT(true, false),
  OVERFULL(true, true),
  BEHIND(true, true),
  EXPIRED(false, false),
  BROKEN(false, false),
  WITHDRAWN(false, false),
  UNREACHED(false, true),
  UNSENT(false, true);

  private final boolean hostAnswered;
  private final boolean neverRan;

  ShotEnd(boolean hostAnswered, boolean neverRan) {
    this.hostAnswered = hostAnswered;
    this.neverRan = neverRan;
  }

  public boolean hostAnswered() {
    return hostAnswered;
  }

  public boolean neverRan() {
    return neverRan;
  }
}
