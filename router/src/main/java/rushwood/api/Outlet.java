package rushwood.api;

/** What the decisions can have done. */
public interface Outlet {
  /**
   * An attempt that ends after {@code timeOut}, and may not begin any more after {@code
   * beginWithin} nanoseconds.
   */
  void send(AccessId access, HostId host, long timeOut, long beginWithin);

  void withdraw(AccessId access, int shot);

  /** Final: trying again is harmless, after {@code advice} if positive. */
  void turnBack(AccessId access, long advice);

  /** Final: no promise. */
  void giveUp(AccessId access);

  void probe(HostId host);

  void wake(long at);

  void subscribe();

  void log(String line);
}
