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
 * Reads the configuration again on SIGHUP:
 *
 * <ol>
 *   <li>The file is read and decoded as a whole, on a thread of its own.
 *   <li>A valid configuration is handed to a consumer on the event loop; {@link ConfigApplier} says
 *       what of it takes effect and which state survives.
 *   <li>An invalid one changes nothing. Its first invalid field is logged, and the file is read
 *       again every half second for ten seconds, or until another SIGHUP: it may be half written.
 * </ol>
 *
 * <p>Used on the event loop only, but for the reading.
 */
final class ConfigReloader {
  /** How long after a file could not be used it is read again. */
  private static final long RETRY_INTERVAL_NANOS = 500_000_000L;

  /** A file that stays invalid for ten seconds is not being written. */
  private static final int MAX_ATTEMPTS = 20;

  private final Map<String, String> environment;
  private final Executor eventLoop;
  private final EventLoopClock clock;
  private final TimerQueue timerQueue;
  private final Counters counters;
  private final RateLimitedLogger logger;
  private final Consumer<RouterConfig> onConfigAccepted;
  private @Nullable ExecutorService reader; // created with the first signal
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

  /** Reads the configuration again on each signal from now on, and at once if one is pending. */
  void listen(HangUpSignal hangUpSignal) {
    hangUpSignal.forwardTo(() -> eventLoop.execute(this::onHangUp));
  }

  private void onHangUp() {
    signalCount++;
    read(signalCount, 1, "");
  }

  /**
   * The reader's thread. It is a single one, so that results arrive in the order of the signals and
   * an older configuration never replaces a newer one.
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

  private void read(int signal, int attempt, String previousReason) {
    reader()
        .execute(
            () -> {
              try {
                RouterConfig config = RouterConfig.readForReload(environment);
                eventLoop.execute(() -> onAccepted(config));
              } catch (InvalidConfigException e) {
                eventLoop.execute(
                    () -> onRejected(signal, attempt, previousReason, e.getMessage()));
              }
            });
  }

  private void onAccepted(RouterConfig config) {
    counters.increment(Counter.CONFIGS_APPLIED);
    onConfigAccepted.accept(config);
  }

  /**
   * Keeps the configuration in force and reads the file again later, unless a newer signal has done
   * so: the file may be half written or just being moved into place.
   */
  private void onRejected(int signal, int attempt, String previousReason, String reason) {
    if (!reason.equals(previousReason)) {
      counters.increment(Counter.CONFIGS_REJECTED);
      logger.log(LogLevel.WARN, "ignored the new configuration: " + reason);
    }
    if (signal == signalCount && attempt < MAX_ATTEMPTS) {
      long retryTime = clock.now() + RETRY_INTERVAL_NANOS;
      timerQueue.schedule(retryTime, () -> retry(signal, attempt, reason));
    }
  }

  private void retry(int signal, int attempt, String reason) {
    if (signal == signalCount) {
      read(signal, attempt + 1, reason);
    }
  }
}
