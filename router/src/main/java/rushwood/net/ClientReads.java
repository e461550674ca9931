package rushwood.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.BooleanSupplier;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.TurnBudget;

/**
 * Decides how much is read from one client in a turn of the event loop. A channel is read until no
 * input is left, so that a disconnect that arrived behind a statement is noticed before the
 * statement is sent to a host. Reading ends early:
 *
 * <ul>
 *   <li>after {@link #MAX_READS_PER_TURN} reads;
 *   <li>if the time for reading clients in this turn is used up, unless the client has a request
 *       pending. The rest is read in the next turns. Until it is, or {@link #MAX_CUT_SHORT_BYTES}
 *       were read, {@link #isCutShort} asks the caller not to process what was read.
 * </ul>
 */
@SuppressWarnings("deprecation") // Netty's interface names a handle type that it deprecates
final class ClientReads implements RecvByteBufAllocator {
  /** Netty's default; each read takes up to 64 KiB. */
  private static final int MAX_READS_PER_TURN = 16;

  /** What {@link #MAX_READS_PER_TURN} reads take at most. */
  static final int MAX_CUT_SHORT_BYTES = 1 << 20;

  /** Of a read for which no time is left; holds most statements. */
  private static final int SMALL_READ_BYTES = 4 << 10;

  private static final RecvByteBufAllocator UNTIL_EMPTY =
      new AdaptiveRecvByteBufAllocator()
          .respectMaybeMoreData(false)
          .maxMessagesPerRead(MAX_READS_PER_TURN);

  private static final long NO_TURN = -1;

  private final EventLoopClock clock;
  private final TurnBudget budget;
  private final BooleanSupplier hasPendingRequest;
  private long cutShortTurn = NO_TURN;
  private int bytesSinceEmpty;

  /**
   * Creates the rules for one client.
   *
   * @param budget the time for reading clients, shared by all
   * @param hasPendingRequest returns whether a disconnect has to be noticed at once, because a
   *     statement of the client may be sent to a host at any time
   */
  ClientReads(EventLoopClock clock, TurnBudget budget, BooleanSupplier hasPendingRequest) {
    this.clock = clock;
    this.budget = budget;
    this.hasPendingRequest = hasPendingRequest;
  }

  /** Returns whether a disconnect may be hidden behind input that this turn left unread. */
  boolean isCutShort() {
    return cutShortTurn == clock.turnNumber();
  }

  private boolean hasTime() {
    return hasPendingRequest.getAsBoolean() || budget.hasTime();
  }

  @Override
  public Handle newHandle() {
    return new ClientReadHandle(UNTIL_EMPTY.newHandle());
  }

  private final class ClientReadHandle extends DelegatingHandle {
    private ClientReadHandle(Handle delegate) {
      super(delegate);
    }

    @Override
    public ByteBuf allocate(ByteBufAllocator allocator) {
      return hasTime() ? super.allocate(allocator) : allocator.ioBuffer(SMALL_READ_BYTES);
    }

    @Override
    public void lastBytesRead(int bytes) {
      super.lastBytesRead(bytes);
      bytesSinceEmpty = bytes <= 0 ? 0 : bytesSinceEmpty + bytes;
    }

    @Override
    public boolean continueReading() {
      if (!super.continueReading()) {
        return false;
      }
      // A read that did not fill its buffer has emptied the socket; the next one is cheap.
      if (lastBytesRead() < attemptedBytesRead() || hasTime()) {
        return true;
      }
      if (bytesSinceEmpty < MAX_CUT_SHORT_BYTES) {
        cutShortTurn = clock.turnNumber();
      } else {
        bytesSinceEmpty = 0;
      }
      return false;
    }
  }
}
