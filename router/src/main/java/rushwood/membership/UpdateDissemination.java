package rushwood.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The updates that this router passes on, carried by the messages that it sends anyway (SWIM's
 * piggybacking). Of one member only the latest update is passed on, so many times that it reaches
 * all members with high probability: a multiple of the logarithm of their number.
 */
final class UpdateDissemination {
  private final LocalMember self;
  private final MemberTable members;
  private final int retransmitMultiplier;
  private final Deque<PendingUpdate> pendingUpdates = new ArrayDeque<>(); // the newest first

  private static final class PendingUpdate {
    final MembershipUpdate update;
    int sendsLeft;

    PendingUpdate(MembershipUpdate update, int sendsLeft) {
      this.update = update;
      this.sendsLeft = sendsLeft;
    }

    /** Not for a member held dead: {@link #updatesFor} builds the update for that member itself. */
    boolean isFor(MemberId recipient) {
      return !update.member().equals(recipient) || update.state() != MemberState.DEAD;
    }
  }

  /** {@code retransmitMultiplier} sends of each update for every doubling of the member count. */
  UpdateDissemination(LocalMember self, MemberTable members, int retransmitMultiplier) {
    this.self = self;
    this.members = members;
    this.retransmitMultiplier = retransmitMultiplier;
  }

  /** Passes an update on from now, in place of an earlier one about the same member. */
  void add(MembershipUpdate update) {
    pendingUpdates.removeIf(pending -> pending.update.member().equals(update.member()));
    int bitsOfMemberCount = Long.SIZE - Long.numberOfLeadingZeros(members.size() + 1L);
    pendingUpdates.addFirst(new PendingUpdate(update, retransmitMultiplier * bitsOfMemberCount));
  }

  /**
   * The updates for a message to {@code recipient}, the newest first, and counts them as sent. A
   * recipient that is held dead is told so first, that it can refute it.
   */
  List<MembershipUpdate> updatesFor(MemberId recipient) {
    List<MembershipUpdate> updates = new ArrayList<>();
    members
        .find(recipient)
        .filter(member -> member.state() == MemberState.DEAD)
        .ifPresent(member -> updates.add(member.updateTo(MemberState.DEAD, self.id())));
    for (PendingUpdate pending : pendingUpdates) {
      if (updates.size() >= DatagramCodec.MAX_UPDATES) {
        break;
      }
      if (pending.isFor(recipient)) {
        updates.add(pending.update);
        pending.sendsLeft--;
      }
    }
    pendingUpdates.removeIf(pending -> pending.sendsLeft <= 0);
    return updates;
  }
}
