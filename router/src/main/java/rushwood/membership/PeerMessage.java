package rushwood.membership;

import java.util.List;

/**
 * A message between routers, sent as one datagram.
 *
 * @param incarnation the sender's incarnation
 * @param sequenceNumber chosen by the sender of a ping or ping request; an ack repeats it
 * @param target the member to probe; in an ack, the sender
 * @param updates piggybacked updates about any members
 */
public record PeerMessage(
    Kind kind,
    long incarnation,
    int sequenceNumber,
    MemberId target,
    List<MembershipUpdate> updates) {

  /** The kind of a message. */
  public enum Kind {
    /** Asks the receiver for an ack. */
    PING,
    /** Answers a ping or a ping request. */
    ACK,
    /** Asks the receiver to ping the target and to relay the target's ack to the sender. */
    PING_REQ
  }

  /** Makes a defensive copy of the updates. */
  public PeerMessage {
    updates = List.copyOf(updates);
  }
}
