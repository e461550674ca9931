package rushwood.server;

import java.lang.reflect.Proxy;
import org.jspecify.annotations.Nullable;

/**
 * Handler of SIGHUP. It is installed first thing in the program, because an unhandled SIGHUP
 * terminates the process. A signal that arrives before {@link #forwardTo} is kept pending, because
 * the router may have read its configuration before the change that the signal announces.
 *
 * <p>Signals arrive on a thread of the Java virtual machine; this object's lock guards its state.
 */
public final class HangUpSignal {
  private @Nullable Runnable receiver; // null until forwardTo
  private boolean pending;

  private HangUpSignal() {}

  /**
   * Installs the handler. Uses reflection because the compiler warns about {@code sun.misc}
   * classes.
   *
   * @throws ReflectiveOperationException if this Java runtime has no {@code sun.misc.Signal}
   */
  public static HangUpSignal install() throws ReflectiveOperationException {
    HangUpSignal hangUpSignal = new HangUpSignal();
    Class<?> signalClass = Class.forName("sun.misc.Signal");
    Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
    Object handler =
        Proxy.newProxyInstance(
            handlerClass.getClassLoader(),
            new Class<?>[] {handlerClass},
            (proxy, method, arguments) -> {
              hangUpSignal.received();
              return null;
            });
    Object hangUp = signalClass.getConstructor(String.class).newInstance("HUP");
    signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, hangUp, handler);
    return hangUpSignal;
  }

  private synchronized void received() {
    if (receiver == null) {
      pending = true;
    } else {
      receiver.run();
    }
  }

  /**
   * Runs {@code newReceiver} on each signal from now on, on the thread that the signal arrives on,
   * and at once on the calling thread if a signal is pending.
   */
  synchronized void forwardTo(Runnable newReceiver) {
    receiver = newReceiver;
    if (pending) {
      pending = false;
      receiver.run();
    }
  }
}
