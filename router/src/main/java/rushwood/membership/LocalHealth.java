package rushwood.membership;

/**
 * Lifeguard's local health score, which rises with each sign that this router itself is slow or cut
 * off. This router's timeouts grow with the score, so that it does not blame its own delays on its
 * peers.
 */
final class LocalHealth {
  private final int maxScore;
  private int score;

  LocalHealth(int maxScore) {
    this.maxScore = maxScore;
  }

  /** Returns the score, from 0 for good health up to the configured maximum. */
  int score() {
    return score;
  }

  /** Returns the factor by which timeouts are multiplied, at least 1. */
  long timeoutFactor() {
    return score + 1L;
  }

  /** Raises the score after a missed probe or a false update that this router had to refute. */
  void degrade() {
    score = Math.min(maxScore, score + 1);
  }

  /** Lowers the score after the target of a probe has answered directly. */
  void improve() {
    score = Math.max(0, score - 1);
  }
}
