package rushwood.membership;

import java.util.ArrayList;
import java.util.List;

/** Collects outgoing messages and adds the piggybacked updates to them. */
final class Outbox {
  private final LocalMember self;
  private final UpdateDissemination dissemination;
  private final List<OutgoingMessage> messages = new ArrayList<>();
  private int lastSequenceNumber;

  Outbox(LocalMember self, UpdateDissemination dissemination) {
    this.self = self;
    this.dissemination = dissemination;
  }

  /** Returns a new sequence number for a ping of this router. */
  int nextSequenceNumber() {
    return ++lastSequenceNumber;
  }

  /** Adds a message that carries the pending updates for {@code to}. */
  void send(MemberId to, PeerMessage.Kind kind, int sequenceNumber, MemberId target) {
    send(to, kind, sequenceNumber, target, dissemination.updatesFor(to));
  }

  /** Adds a message that carries only the given updates. */
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

  /** Returns the messages added since the last call, and removes them. */
  List<OutgoingMessage> drain() {
    List<OutgoingMessage> drained = List.copyOf(messages);
    messages.clear();
    return drained;
  }
}
