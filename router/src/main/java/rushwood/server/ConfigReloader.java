package rushwood.server;

import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import rushwood.config.InvalidConfigException;
import rushwood.config.RouterConfig;
import rushwood.dispatch.Counters;
import rushwood.dispatch.Counters.Counter;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.TimerQueue;

/**
 * Reads the configuration again on SIGHUP, beside the event loop; what comes of it is told on the
 * loop.
 */
public final class ConfigReloader {
  private static final long RETRY_INTERVAL_NANOS =
      500_000_000L; // until a file that cannot be read is looked at again
  private static final int MAX_ATTEMPTS =
      20; // looks: a file that is bad for ten seconds is not being written

  private final Map<String, String> environment;
  private final Executor eventLoop;
  private final EventLoopClock clock;
  private final TimerQueue timerQueue;
  private final Counters counters;
  private final Consumer<String> log;
  private final Consumer<RouterConfig> onConfigAccepted;
  private ExecutorService reader;
  private int signalCount;

  ConfigReloader(
      Map<String, String> environment,
      Executor eventLoop,
      EventLoopClock clock,
      TimerQueue timerQueue,
      Counters counters,
      Consumer<String> log,
      Consumer<RouterConfig> onConfigAccepted) {
    this.environment = environment;
    this.eventLoop = eventLoop;
    this.clock = clock;
    this.timerQueue = timerQueue;
    this.counters = counters;
    this.log = log;
    this.onConfigAccepted = onConfigAccepted;
  }

  /**
   * What hears SIGHUP from the first moment of the program on: until then it ends the process. What
   * comes before there is a router is kept for it, as that has read its configuration then and may
   * have read the old one.
   */
  public static final class HangUpSignal {
    private Runnable receiver;
    private boolean pending;

    private synchronized void received() {
      if (receiver == null) {
        pending = true;
      } else {
        receiver.run();
      }
    }

    private synchronized void forwardTo(Runnable listener) {
      receiver = listener;
      if (pending) {
        pending = false;
        receiver.run();
      }
    }
  }

  /** By name: the compiler warns of such classes. */
  public static HangUpSignal installHangUpHandler() throws ReflectiveOperationException {
    HangUpSignal hangUpSignal = new HangUpSignal();
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> handler = Class.forName("sun.misc.SignalHandler");
    Object proxy =
        Proxy.newProxyInstance(
            handler.getClassLoader(),
            new Class<?>[] {handler},
            (instance, method, arguments) -> {
              hangUpSignal.received();
              return null;
            });
    signal
        .getMethod("handle", signal, handler)
        .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
    return hangUpSignal;
  }

  void startListening(HangUpSignal hangUpSignal) {
    hangUpSignal.forwardTo(() -> eventLoop.execute(this::onHangUp));
  }

  private void onHangUp() {
    if (reader == null) {
      reader =
          Executors.newSingleThreadExecutor(
              task -> {
                Thread thread = new Thread(task, "configuration");
                thread.setDaemon(true);
                return thread;
              });
    }
    signalCount++;
    read(signalCount, 1, "");
  }

  /** One reader: what a later signal found is never replaced by what an earlier one did. */
  private void read(int signal, int attempt, String lastReason) {
    reader.execute(
        () -> {
          try {
            RouterConfig config = RouterConfig.readForReload(environment);
            eventLoop.execute(
                () -> {
                  counters.increment(Counter.CONFIGS_APPLIED);
                  onConfigAccepted.accept(config);
                });
          } catch (InvalidConfigException e) {
            eventLoop.execute(() -> onRejected(signal, attempt, lastReason, e.getMessage()));
          }
        });
  }

  /**
   * It may be half written or moved into place this moment: the old one stays, and it is looked at
   * again.
   */
  private void onRejected(int signal, int attempt, String lastReason, String reason) {
    if (!reason.equals(lastReason)) {
      counters.increment(Counter.CONFIGS_REJECTED);
      log.accept("the new configuration is not taken: " + reason);
    }
    if (signal == signalCount && attempt < MAX_ATTEMPTS) {
      timerQueue.schedule(
          clock.now() + RETRY_INTERVAL_NANOS,
          () -> {
            if (signal == signalCount) {
              read(signal, attempt + 1, reason);
            }
          });
    }
  }
}
