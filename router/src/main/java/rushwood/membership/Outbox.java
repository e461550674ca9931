package rushwood.membership;

import java.util.ArrayList;
import java.util.List;

/** Collects the messages to be sent, each with the updates that it carries. */
final class Outbox {
  private final LocalMember self;
  private final UpdateDissemination dissemination;
  private final List<OutgoingMessage> messages = new ArrayList<>();
  private int lastSequenceNumber;

  Outbox(LocalMember self, UpdateDissemination dissemination) {
    this.self = self;
    this.dissemination = dissemination;
  }

  /** A sequence number for a ping of this router; no two are equal. */
  int nextSequenceNumber() {
    return ++lastSequenceNumber;
  }

  /** Adds a message with the updates that are due to {@code to}. */
  void send(MemberId to, PeerMessage.Kind kind, int sequenceNumber, MemberId target) {
    send(to, kind, sequenceNumber, target, dissemination.updatesFor(to));
  }

  /** Adds a message with these updates only. */
  void send(
      MemberId to,
      PeerMessage.Kind kind,
      int sequenceNumber,
      MemberId target,
      List<MembershipUpdate> updates) {
    PeerMessage message =
        new PeerMessage(kind, self.incarnation(), sequenceNumber, target, updates);
    messages.add(new OutgoingMessage(to, message));
  }

  /** Returns the messages added since the last call. */
  List<OutgoingMessage> drain() {
    List<OutgoingMessage> drained = List.copyOf(messages);
    messages.clear();
    return drained;
  }
}
