package rushwood.membership;

import java.util.List;

/**
 * One datagram between routers.
 *
 * @param incarnation of the sender
 * @param sequenceNumber an ack has that of the ping that it answers
 * @param target the member that is probed; of an ack, the sender
 * @param updates about any members, carried along
 */
public record PeerMessage(
    Kind kind,
    long incarnation,
    int sequenceNumber,
    MemberId target,
    List<MembershipUpdate> updates) {

  /** What the receiver is to do. */
  public enum Kind {
    /** Asks the receiver for an ack. */
    PING,
    /** Answers a ping. */
    ACK,
    /** Asks the receiver to ping the target and to pass the ack on. */
    PING_REQ
  }

  /** Copies the updates. */
  public PeerMessage {
    updates = List.copyOf(updates);
  }
}
