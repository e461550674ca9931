package rushwood.server;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/**
 * Has the event loop wait a whole millisecond for what is due within one. The library's waits are
 * whole milliseconds, rounded to the nearest: before most due times it asks the sockets again and
 * again for up to half a millisecond, as fast as it can. A router has a hundred due times a second
 * and part of a core. Harm: what is due comes up to a millisecond late.
 */
final class MillisecondWaitStrategy implements IoHandler {
  private static final long HALF_MILLISECOND_NANOS =
      500_000; // what the library adds before it cuts off
  private static final long NO_DEADLINE_NANOS = Long.MAX_VALUE / 2;

  private final IoHandler delegate;

  private MillisecondWaitStrategy(IoHandler delegate) {
    this.delegate = delegate;
  }

  static IoHandlerFactory wrap(IoHandlerFactory factory) {
    return executor -> new MillisecondWaitStrategy(factory.newHandler(executor));
  }

  private record RoundedUpContext(IoHandlerContext delegate) implements IoHandlerContext {
    @Override
    public boolean canBlock() {
      return delegate.canBlock();
    }

    @Override
    public long delayNanos(long now) {
      long delay = delegate.delayNanos(now);
      return delay <= 0 || delay > NO_DEADLINE_NANOS ? delay : delay + HALF_MILLISECOND_NANOS - 1;
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
