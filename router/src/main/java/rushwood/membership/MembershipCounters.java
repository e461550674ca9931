package rushwood.membership;

/** Counters of one {@link Membership} since its start. */
public final class MembershipCounters {
  private long droppedMessages;
  private long suspected;
  private long declaredDead;
  private long refutations;
  private long revivalProbes;
  private long missedProbes;

  MembershipCounters() {}

  /** Returns the number of messages dropped for an unknown sender or too many updates. */
  public long droppedMessages() {
    return droppedMessages;
  }

  /** Returns the number of suspicions of other members, without confirmations. */
  public long suspected() {
    return suspected;
  }

  /** Returns the number of adopted updates that declare another member dead. */
  public long declaredDead() {
    return declaredDead;
  }

  /** Returns the number of times that this router refuted a false update about itself. */
  public long refutations() {
    return refutations;
  }

  /** Returns the number of probes of dead members, sent to detect that a partition has healed. */
  public long revivalProbes() {
    return revivalProbes;
  }

  /**
   * Returns the number of probes with no ack, direct or relayed, by the start of the next probe.
   */
  public long missedProbes() {
    return missedProbes;
  }

  void countDroppedMessage() {
    droppedMessages++;
  }

  void countSuspected() {
    suspected++;
  }

  void countDeclaredDead() {
    declaredDead++;
  }

  void countRefutation() {
    refutations++;
  }

  void countRevivalProbe() {
    revivalProbes++;
  }

  void countMissedProbe() {
    missedProbes++;
  }
}
