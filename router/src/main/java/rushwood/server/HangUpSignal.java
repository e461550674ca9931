package rushwood.server;

import java.lang.reflect.Proxy;
import org.jspecify.annotations.Nullable;

/**
 * SIGHUP, handled from the first moment of the program on, as without a handler it ends the
 * process. A signal that comes before there is a receiver is kept for it: the configuration that
 * has been read by then may be the old one.
 *
 * <p>Signals come on a thread of the virtual machine; this object's lock guards its state.
 */
public final class HangUpSignal {
  private @Nullable Runnable receiver; // null until there is one
  private boolean pending;

  private HangUpSignal() {}

  /**
   * Installs the handler, by reflection since the compiler warns of {@code sun.misc} classes.
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

  /** Runs {@code newReceiver} on each signal from now on, and at once if one is pending. */
  synchronized void forwardTo(Runnable newReceiver) {
    receiver = newReceiver;
    if (pending) {
      pending = false;
      receiver.run();
    }
  }
}
