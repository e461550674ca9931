package rushwood.server;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/**
 * Rounds the wait of the event loop for its next timer up to a whole millisecond.
 *
 * <p>Netty's selector waits for a whole number of milliseconds, rounded to the nearest. If it
 * rounds down, the event loop spins until the timer is due, for up to half a millisecond per timer.
 * A router has only part of a core, so timers that fire up to a millisecond late cost it less than
 * spinning.
 */
final class MillisecondWaitStrategy implements IoHandler {
  /** Netty adds this to a delay before it truncates the delay to whole milliseconds. */
  private static final long HALF_MILLISECOND_NANOS = 500_000;

  /** A longer delay means that no timer is scheduled. */
  private static final long MAX_DELAY_NANOS = Long.MAX_VALUE / 2;

  private final IoHandler delegate;

  private MillisecondWaitStrategy(IoHandler delegate) {
    this.delegate = delegate;
  }

  /** Returns a factory that wraps the handlers of {@code factory} in this wait strategy. */
  static IoHandlerFactory wrap(IoHandlerFactory factory) {
    return executor -> new MillisecondWaitStrategy(factory.newHandler(executor));
  }

  /** Delegates to the event loop's context, with the delay rounded up to a whole millisecond. */
  private record RoundedUpContext(IoHandlerContext delegate) implements IoHandlerContext {
    @Override
    public boolean canBlock() {
      return delegate.canBlock();
    }

    @Override
    public long delayNanos(long now) {
      long delay = delegate.delayNanos(now);
      return delay <= 0 || delay > MAX_DELAY_NANOS ? delay : delay + HALF_MILLISECOND_NANOS - 1;
    }

    @Override
    public long deadlineNanos() {
      return delegate.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long nanos) {
      delegate.reportActiveIoTime(nanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return delegate.shouldReportActiveIoTime();
    }
  }

  @Override
  public void initialize() {
    delegate.initialize();
  }

  @Override
  public int run(IoHandlerContext context) {
    return delegate.run(new RoundedUpContext(context));
  }

  @Override
  public void prepareToDestroy() {
    delegate.prepareToDestroy();
  }

  @Override
  public void destroy() {
    delegate.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return delegate.register(handle);
  }

  @Override
  public void wakeup() {
    delegate.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return delegate.isCompatible(type);
  }
}
