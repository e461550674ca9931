package rushwood.testbed.load;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import rushwood.testbed.model.WriteLedger;

/**
 * The state that all clients of an experiment on sockets share.
 *
 * @param loop the event loop on which the clients run
 * @param clock the time in nanoseconds
 * @param startNanos the experiment's start on that clock
 * @param routerAddress the address that the clients connect to
 * @param result where the clients record time series and completions
 * @param ledger where the clients record the answers to writes
 */
record LoadContext(
    EventLoop loop,
    LongSupplier clock,
    long startNanos,
    InetSocketAddress routerAddress,
    ExperimentResult result,
    WriteLedger ledger) {
  long now() {
    return clock.getAsLong();
  }

  /** Adds 1 to a time series at the current time. */
  void incrementSeries(String series) {
    result.addToSeries(series, now() - startNanos, 1);
  }

  void scheduleAfter(long delayNanos, Runnable task) {
    loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
  }

  /** Schedules a task at a time that is given in nanoseconds from the experiment's start. */
  void scheduleAtElapsed(long elapsedNanos, Runnable task) {
    scheduleAfter(startNanos + elapsedNanos - now(), task);
  }
}
