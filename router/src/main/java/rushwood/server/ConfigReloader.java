package rushwood.server;

import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import rushwood.api.LogLevel;
import rushwood.config.InvalidConfigException;
import rushwood.config.RouterConfig;
import rushwood.dispatch.Counter;

/**
 * Reads the configuration again on SIGHUP. The file is read on a thread of its own; all else runs
 * on the event loop.
 */
final class ConfigReloader {
  /** How long after a file could not be used it is read again, as it may have been half written. */
  private static final long RETRY_INTERVAL_NANOS = 500_000_000L;

  /** A file that stays invalid for ten seconds is not being written. */
  private static final int MAX_ATTEMPTS = 20;

  private final Map<String, String> environment;
  private final Executor eventLoop;
  private final RouterComponents components;
  private final Consumer<RouterConfig> onConfigAccepted;
  private ExecutorService reader; // created with the first signal
  private int signalCount;

  /**
   * Creates a reloader that does nothing until {@link #listen}.
   *
   * @param environment names the configuration's file
   * @param onConfigAccepted receives each new configuration, on the event loop
   */
  ConfigReloader(
      Map<String, String> environment,
      Executor eventLoop,
      RouterComponents components,
      Consumer<RouterConfig> onConfigAccepted) {
    this.environment = environment;
    this.eventLoop = eventLoop;
    this.components = components;
    this.onConfigAccepted = onConfigAccepted;
  }

  /** Reads the configuration again on each signal from now on, and at once if one is pending. */
  void listen(HangUpSignal hangUpSignal) {
    hangUpSignal.forwardTo(() -> eventLoop.execute(this::onHangUp));
  }

  private void onHangUp() {
    if (reader == null) {
      reader = Executors.newSingleThreadExecutor(ConfigReloader::newReaderThread);
    }
    signalCount++;
    read(signalCount, 1, "");
  }

  private static Thread newReaderThread(Runnable task) {
    Thread thread = new Thread(task, "configuration");
    thread.setDaemon(true);
    return thread;
  }

  /**
   * Reads the file on the reader's thread. That is a single thread, so that results arrive in the
   * order of the signals and an older configuration never replaces a newer one.
   */
  private void read(int signal, int attempt, String previousReason) {
    reader.execute(
        () -> {
          try {
            RouterConfig config = RouterConfig.readForReload(environment);
            eventLoop.execute(() -> onAccepted(config));
          } catch (InvalidConfigException e) {
            eventLoop.execute(() -> onRejected(signal, attempt, previousReason, e.getMessage()));
          }
        });
  }

  private void onAccepted(RouterConfig config) {
    components.counters().increment(Counter.CONFIGS_APPLIED);
    onConfigAccepted.accept(config);
  }

  /**
   * Keeps the configuration in force and reads the file again later, unless a newer signal has done
   * so: the file may be half written or just being moved into place.
   */
  private void onRejected(int signal, int attempt, String previousReason, String reason) {
    if (!reason.equals(previousReason)) {
      components.counters().increment(Counter.CONFIGS_REJECTED);
      components.logger().log(LogLevel.WARN, "ignored the new configuration: " + reason);
    }
    if (signal == signalCount && attempt < MAX_ATTEMPTS) {
      long retryTime = components.clock().now() + RETRY_INTERVAL_NANOS;
      components.timerQueue().schedule(retryTime, () -> retry(signal, attempt, reason));
    }
  }

  private void retry(int signal, int attempt, String reason) {
    if (signal == signalCount) {
      read(signal, attempt + 1, reason);
    }
  }
}
