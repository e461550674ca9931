package rushwood.fleet;

import java.util.List;

/**
 * One datagram between routers. {@code PING} asks its receiver for an {@code ACK} of the same
 * number; {@code PING_REQ} asks its receiver to ping {@code target} and pass the ack back. {@code
 * incarnation} is the sender's own.
 */
public record Message(Kind kind, long incarnation, int number, MemberId target, List<News> news) {
  public enum Kind {
    PING,
    ACK,
    PING_REQ
  }

  public Message {
    news = List.copyOf(news);
  }
}
