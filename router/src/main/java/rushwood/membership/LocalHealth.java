package rushwood.membership;

/**
 * Lifeguard's local health: a score of signs that this router itself is slow or cut off. Its
 * timeouts grow with the score, so that it does not blame its peers for its own delays.
 */
final class LocalHealth {
  private final int maxScore;
  private int score;

  LocalHealth(int maxScore) {
    this.maxScore = maxScore;
  }

  /** 0 for good health, up to the maximum of the settings. */
  int score() {
    return score;
  }

  /** What timeouts are multiplied by. */
  long timeoutFactor() {
    return score + 1L;
  }

  /** A probe was missed, or this router had to refute a suspicion. */
  void degrade() {
    score = Math.min(maxScore, score + 1);
  }

  /** A probe was answered directly. */
  void improve() {
    score = Math.max(0, score - 1);
  }
}
