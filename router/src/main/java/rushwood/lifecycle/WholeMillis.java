package rushwood.lifecycle;

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
final class WholeMillis implements IoHandler {
  private static final long HALF = 500_000; // what the library adds before it cuts off
  private static final long LONG = Long.MAX_VALUE / 2;

  private final IoHandler inner;

  private WholeMillis(IoHandler inner) {
    this.inner = inner;
  }

  static IoHandlerFactory of(IoHandlerFactory factory) {
    return executor -> new WholeMillis(factory.newHandler(executor));
  }

  private record Rounded(IoHandlerContext inner) implements IoHandlerContext {
    @Override
    public boolean canBlock() {
      return inner.canBlock();
    }

    @Override
    public long delayNanos(long now) {
      long delay = inner.delayNanos(now);
      return delay <= 0 || delay > LONG ? delay : delay + HALF - 1;
    }

    @Override
    public long deadlineNanos() {
      return inner.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long nanos) {
      inner.reportActiveIoTime(nanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return inner.shouldReportActiveIoTime();
    }
  }

  @Override
  public void initialize() {
    inner.initialize();
  }

  @Override
  public int run(IoHandlerContext context) {
    return inner.run(new Rounded(context));
  }

  @Override
  public void prepareToDestroy() {
    inner.prepareToDestroy();
  }

  @Override
  public void destroy() {
    inner.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return inner.register(handle);
  }

  @Override
  public void wakeup() {
    inner.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return inner.isCompatible(type);
  }
}
