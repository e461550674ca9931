package rushwood.testbed.load;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import rushwood.testbed.model.WriteLedger;

/**
 * What all clients of an experiment on sockets share.
 *
 * @param loop runs all of them
 * @param clock the time in nanoseconds
 * @param startNanos the experiment's start on that clock
 * @param router where they connect to
 */
record LoadContext(
    EventLoop loop,
    LongSupplier clock,
    long startNanos,
    InetSocketAddress router,
    ExperimentResult result,
    WriteLedger ledger) {
  long now() {
    return clock.getAsLong();
  }

  /** Adds 1 to a time series at the present. */
  void addToSeries(String series) {
    result.addToSeries(series, now() - startNanos, 1);
  }

  void scheduleAfter(long delayNanos, Runnable task) {
    loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
  }

  /** Schedules a task at that time from the experiment's start. */
  void scheduleAtElapsed(long elapsedNanos, Runnable task) {
    scheduleAfter(startNanos + elapsedNanos - now(), task);
  }
}
