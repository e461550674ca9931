package rushwood.state;

import io.netty.buffer.ByteBuf;

/** Where the one final answer of an access goes. */
public interface Client {
  /** The messages of the row as the host gave them; the client releases them. */
  void fulfilled(ByteBuf row);

  /** Trying again is harmless, after {@code advice} nanoseconds if positive. */
  void turnedBack(long advice);

  void givenUp();
}
