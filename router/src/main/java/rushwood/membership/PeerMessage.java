package rushwood.membership;

import java.util.List;

/**
 * One datagram between routers. {@code PING} asks its receiver for an {@code ACK} of the same
 * number; {@code PING_REQ} asks its receiver to ping {@code target} and pass the ack back. {@code
 * incarnation} is the sender's own.
 */
public record PeerMessage(
    Kind kind,
    long incarnation,
    int sequenceNumber,
    MemberId target,
    List<MembershipUpdate> updates) {
  public enum Kind {
    PING,
    ACK,
    PING_REQ
  }

  public PeerMessage {
    updates = List.copyOf(updates);
  }
}
