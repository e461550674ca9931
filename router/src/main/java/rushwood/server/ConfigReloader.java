package rushwood.server;

import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import rushwood.api.LogLevel;
import rushwood.config.InvalidConfigException;
import rushwood.config.RouterConfig;
import rushwood.dispatch.Counter;
import rushwood.dispatch.Counters;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.TimerQueue;

/**
 * Reloads the configuration on SIGHUP:
 *
 * <ol>
 *   <li>The whole file is read and decoded on a separate thread, so that the event loop does not
 *       block.
 *   <li>A valid configuration is passed to a consumer on the event loop; see {@link ConfigApplier}
 *       for the fields that take effect.
 *   <li>An invalid configuration changes nothing. Its first invalid field is logged, and the file
 *       is read again every half second for ten seconds or until the next SIGHUP, because it may
 *       have been only partly written.
 * </ol>
 *
 * <p>Used on the event loop only, except for the task that reads the file.
 */
final class ConfigReloader {
  private static final long RETRY_INTERVAL_NANOS = 500_000_000L;

  /** Ten seconds of attempts: a file that is still invalid by then is not being written. */
  private static final int MAX_ATTEMPTS = 20;

  private final Map<String, String> environment;
  private final Executor eventLoop;
  private final EventLoopClock clock;
  private final TimerQueue timerQueue;
  private final Counters counters;
  private final RateLimitedLogger logger;
  private final Consumer<RouterConfig> onConfigAccepted;
  private @Nullable ExecutorService reader; // created on the first signal
  private int signalCount;

  /**
   * Creates a reloader that does nothing until {@link #reloadOn}.
   *
   * @param environment the environment variables, which name the configuration file
   * @param onConfigAccepted receives each valid configuration, on the event loop
   */
  ConfigReloader(
      Map<String, String> environment,
      Executor eventLoop,
      EventLoopClock clock,
      TimerQueue timerQueue,
      Counters counters,
      RateLimitedLogger logger,
      Consumer<RouterConfig> onConfigAccepted) {
    this.environment = environment;
    this.eventLoop = eventLoop;
    this.clock = clock;
    this.timerQueue = timerQueue;
    this.counters = counters;
    this.logger = logger;
    this.onConfigAccepted = onConfigAccepted;
  }

  /** Reloads the configuration on each signal from now on, and at once if one is pending. */
  void reloadOn(HangUpSignal hangUpSignal) {
    hangUpSignal.forwardTo(() -> eventLoop.execute(this::onHangUp));
  }

  private void onHangUp() {
    signalCount++;
    read(signalCount, 1, "");
  }

  /**
   * Returns the executor that reads the file. It has a single thread, so that results arrive in the
   * order of the signals and an older configuration never replaces a newer one.
   */
  private Executor reader() {
    if (reader == null) {
      reader = Executors.newSingleThreadExecutor(ConfigReloader::newReaderThread);
    }
    return reader;
  }

  private static Thread newReaderThread(Runnable task) {
    Thread thread = new Thread(task, "configuration");
    thread.setDaemon(true);
    return thread;
  }

  private void read(int signalNumber, int attempt, String previousError) {
    reader()
        .execute(
            () -> {
              try {
                RouterConfig config = RouterConfig.readForReload(environment);
                eventLoop.execute(() -> onAccepted(config));
              } catch (InvalidConfigException e) {
                eventLoop.execute(
                    () -> onRejected(signalNumber, attempt, previousError, e.getMessage()));
              }
            });
  }

  private void onAccepted(RouterConfig config) {
    counters.increment(Counter.CONFIGS_APPLIED);
    onConfigAccepted.accept(config);
  }

  /**
   * Keeps the current configuration and schedules another attempt, because the file may be partly
   * written or not moved into place yet. A newer signal ends the attempts for an older one. An
   * error is logged and counted once as long as it stays the same.
   */
  private void onRejected(int signalNumber, int attempt, String previousError, String error) {
    if (!error.equals(previousError)) {
      counters.increment(Counter.CONFIGS_REJECTED);
      logger.log(LogLevel.WARN, "ignored the new configuration: " + error);
    }
    if (signalNumber == signalCount && attempt < MAX_ATTEMPTS) {
      long retryTime = clock.now() + RETRY_INTERVAL_NANOS;
      timerQueue.schedule(retryTime, () -> retry(signalNumber, attempt, error));
    }
  }

  private void retry(int signalNumber, int attempt, String error) {
    if (signalNumber == signalCount) {
      read(signalNumber, attempt + 1, error);
    }
  }
}
