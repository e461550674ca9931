package rushwood.membership;

/**
 * A message that the caller has to encode and send as one datagram.
 *
 * @param to the recipient
 */
public record OutgoingMessage(MemberId to, PeerMessage message) {}
