package rushwood.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Disseminates updates by piggybacking them on the messages of the failure detector, as in SWIM.
 * Only the latest update about each member is sent. The number of times it is sent is proportional
 * to the logarithm of the member count, so that it reaches all members with high probability.
 */
final class UpdateDissemination {
  private final LocalMember self;
  private final MemberTable members;
  private final int retransmitMultiplier;
  private final Deque<PendingUpdate> pendingUpdates = new ArrayDeque<>(); // newest first

  private static final class PendingUpdate {
    final MembershipUpdate update;
    int sendsLeft;

    PendingUpdate(MembershipUpdate update, int sendsLeft) {
      this.update = update;
      this.sendsLeft = sendsLeft;
    }

    /**
     * Returns false for an update that declares the recipient itself dead, because {@link
     * #updatesFor} creates that update separately.
     */
    boolean shouldSendTo(MemberId recipient) {
      return !update.member().equals(recipient) || update.state() != MemberState.DEAD;
    }
  }

  /**
   * Creates a queue without updates.
   *
   * @param retransmitMultiplier number of times that an update is sent, per doubling of the member
   *     count
   */
  UpdateDissemination(LocalMember self, MemberTable members, int retransmitMultiplier) {
    this.self = self;
    this.members = members;
    this.retransmitMultiplier = retransmitMultiplier;
  }

  /** Adds an update to disseminate, replacing an earlier one about the same member. */
  void add(MembershipUpdate update) {
    pendingUpdates.removeIf(pending -> pending.update.member().equals(update.member()));
    int memberCountBits = Long.SIZE - Long.numberOfLeadingZeros(members.size() + 1L);
    pendingUpdates.addFirst(new PendingUpdate(update, retransmitMultiplier * memberCountBits));
  }

  /**
   * Returns the updates for a message to {@code recipient}, newest first, and counts them as sent.
   * For a recipient that is considered dead, the first update says so, which lets the recipient
   * refute it.
   */
  List<MembershipUpdate> updatesFor(MemberId recipient) {
    List<MembershipUpdate> updates = new ArrayList<>();
    members
        .find(recipient)
        .filter(member -> member.state() == MemberState.DEAD)
        .ifPresent(member -> updates.add(member.newUpdate(MemberState.DEAD, self.id())));
    for (PendingUpdate pending : pendingUpdates) {
      if (updates.size() >= DatagramCodec.MAX_UPDATES) {
        break;
      }
      if (pending.shouldSendTo(recipient)) {
        updates.add(pending.update);
        pending.sendsLeft--;
      }
    }
    pendingUpdates.removeIf(pending -> pending.sendsLeft <= 0);
    return updates;
  }
}
