package rushwood.membership;

/** A message that the caller is to encode and send as one datagram. */
public record OutgoingMessage(MemberId to, PeerMessage message) {}
