package rushwood.state;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;

/** A connection to a host. */
public interface Link {
  /**
   * Writes a statement; only on a link that is open and not in use. The row of a probe is a load
   * report.
   */
  void ask(ByteBuf statement, boolean probe);

  /** Whether the last byte of the last statement was written. */
  boolean written();

  boolean open();

  /** Closes it; no event follows. */
  void close();

  /** What opens links. */
  interface Opener {
    Link open(InetSocketAddress to, Events events);
  }

  /** What a link tells, never from within a call to it. */
  interface Events {
    void opened();

    /**
     * The end of what was asked, or a refusal while opening; whether the link can be used again.
     */
    void answered(HostAnswer answer, boolean again);

    /** It is over; {@code accepted} unless the host refused it or it never came up. */
    void broken(boolean accepted);
  }
}
