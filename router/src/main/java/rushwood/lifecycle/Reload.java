package rushwood.lifecycle;

import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import rushwood.dispatch.Counters;
import rushwood.dispatch.Counters.Counter;
import rushwood.dispatch.EventLoopClock;
import rushwood.dispatch.TimerQueue;

/**
 * Reads the configuration again on SIGHUP, beside the event loop; what comes of it is told on the
 * loop.
 */
public final class Reload {
  private static final long AGAIN =
      500_000_000L; // until a file that cannot be read is looked at again
  private static final int MOST =
      20; // looks: a file that is bad for ten seconds is not being written

  private final Map<String, String> environment;
  private final Executor loop;
  private final EventLoopClock clock;
  private final TimerQueue agenda;
  private final Counters counters;
  private final Consumer<String> log;
  private final Consumer<Config> taken;
  private ExecutorService reader;
  private int signals;

  Reload(
      Map<String, String> environment,
      Executor loop,
      EventLoopClock clock,
      TimerQueue agenda,
      Counters counters,
      Consumer<String> log,
      Consumer<Config> taken) {
    this.environment = environment;
    this.loop = loop;
    this.clock = clock;
    this.agenda = agenda;
    this.counters = counters;
    this.log = log;
    this.taken = taken;
  }

  /**
   * What hears SIGHUP from the first moment of the program on: until then it ends the process. What
   * comes before there is a router is kept for it, as that has read its configuration then and may
   * have read the old one.
   */
  public static final class Signal {
    private Runnable heard;
    private boolean waits;

    private synchronized void came() {
      if (heard == null) {
        waits = true;
      } else {
        heard.run();
      }
    }

    private synchronized void goesTo(Runnable listener) {
      heard = listener;
      if (waits) {
        waits = false;
        heard.run();
      }
    }
  }

  /** By name: the compiler warns of such classes. */
  public static Signal hear() throws ReflectiveOperationException {
    Signal into = new Signal();
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> handler = Class.forName("sun.misc.SignalHandler");
    Object heard =
        Proxy.newProxyInstance(
            handler.getClassLoader(),
            new Class<?>[] {handler},
            (proxy, method, arguments) -> {
              into.came();
              return null;
            });
    signal
        .getMethod("handle", signal, handler)
        .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), heard);
    return into;
  }

  void listen(Signal hangUp) {
    hangUp.goesTo(() -> loop.execute(this::asked));
  }

  private void asked() {
    if (reader == null) {
      reader =
          Executors.newSingleThreadExecutor(
              task -> {
                Thread thread = new Thread(task, "configuration");
                thread.setDaemon(true);
                return thread;
              });
    }
    signals++;
    read(signals, 1, "");
  }

  /** One reader: what a later signal found is never replaced by what an earlier one did. */
  private void read(int signal, int look, String last) {
    reader.execute(
        () -> {
          try {
            Config config = Config.reread(environment);
            loop.execute(
                () -> {
                  counters.increment(Counter.CONFIGS_APPLIED);
                  taken.accept(config);
                });
          } catch (BadConfig e) {
            loop.execute(() -> refused(signal, look, last, e.getMessage()));
          }
        });
  }

  /**
   * It may be half written or moved into place this moment: the old one stays, and it is looked at
   * again.
   */
  private void refused(int signal, int look, String last, String why) {
    if (!why.equals(last)) {
      counters.increment(Counter.CONFIGS_REJECTED);
      log.accept("the new configuration is not taken: " + why);
    }
    if (signal == signals && look < MOST) {
      agenda.schedule(
          clock.now() + AGAIN,
          () -> {
            if (signal == signals) {
              read(signal, look + 1, why);
            }
          });
    }
  }
}
