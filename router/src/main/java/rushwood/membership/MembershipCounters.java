package rushwood.membership;

/** Counts of one {@link Membership} since its start. */
public final class MembershipCounters {
  private long unknownSenders;
  private long suspected;
  private long declaredDead;
  private long refutations;
  private long revivalProbes;
  private long missedProbes;

  MembershipCounters() {}

  /** Messages dropped: from outside the peer list, or with too many updates. */
  public long unknownSenders() {
    return unknownSenders;
  }

  /** Changes of another member's state to suspect. */
  public long suspected() {
    return suspected;
  }

  /** Changes of another member's state to dead. */
  public long declaredDead() {
    return declaredDead;
  }

  /** Times that this router was suspected or declared dead and refuted it. */
  public long refutations() {
    return refutations;
  }

  /** Probes of members that are held dead, sent to find out whether a partition has healed. */
  public long revivalProbes() {
    return revivalProbes;
  }

  /** Probes without an ack, direct or relayed, until the next probe. */
  public long missedProbes() {
    return missedProbes;
  }

  void countUnknownSender() {
    unknownSenders++;
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
