package rushwood.api;

/** Policy actions that do nothing; tests override the ones that they observe. */
public class NoPolicyActions implements PolicyActions {
  @Override
  public void send(RequestId request, HostId host, long timeoutNanos, long startWithinNanos) {}

  @Override
  public void cancel(RequestId request, int attemptNumber) {}

  @Override
  public void reject(RequestId request, long retryAfterNanos) {}

  @Override
  public void fail(RequestId request) {}

  @Override
  public void checkHealth(HostId host) {}

  @Override
  public void wakeAt(long time) {}

  @Override
  public void subscribeToEndpoints() {}

  @Override
  public void log(LogLevel level, String line) {}
}
