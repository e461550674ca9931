package rushwood.server;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/**
 * Makes the event loop wait up to the next whole millisecond for a timer that is due within one.
 *
 * <p>Netty's selector waits for a whole number of milliseconds, rounded to the nearest. If that is
 * too short it polls the sockets without a wait until the timer is due, for up to half a
 * millisecond at each timer. A router has part of a core only and can better afford timers that
 * fire up to a millisecond late.
 */
final class MillisecondWaitStrategy implements IoHandler {
  /** What Netty adds to a delay before it cuts off the fraction of a millisecond. */
  private static final long HALF_MILLISECOND_NANOS = 500_000;

  /** A longer delay stands for no timer at all. */
  private static final long MAX_DELAY_NANOS = Long.MAX_VALUE / 2;

  private final IoHandler delegate;

  private MillisecondWaitStrategy(IoHandler delegate) {
    this.delegate = delegate;
  }

  /** Returns a factory whose handlers are those of {@code factory}, with delays rounded up. */
  static IoHandlerFactory wrap(IoHandlerFactory factory) {
    return executor -> new MillisecondWaitStrategy(factory.newHandler(executor));
  }

  /** The context that the event loop gives, with its delay rounded up to a whole millisecond. */
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
