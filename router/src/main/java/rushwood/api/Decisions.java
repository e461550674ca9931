package rushwood.api;

import java.util.List;

/**
 * The decisions of one router. Calls come one at a time, with a clock that never goes back; what is
 * decided leaves through the {@link Outlet} handed over at start, before the call returns.
 */
public interface Decisions {
  /**
   * The whole list; {@code remembered} if it is only what this router last held before it started.
   */
  void listed(long now, List<ListedHost> hosts, boolean remembered);

  /** Changes; none where the list comes from another place from now on. */
  void listChanged(long now, List<ListedHost> changes);

  /** A call for the list failed, or the subscription ended. */
  void listFailed(long now);

  void arrived(long now, Access access);

  void answered(long now, Answer answer);

  /** The client has left: no answer is owed. */
  void left(long now, AccessId access);

  /** This router ends at that time: whatever it has taken until then has its answer before. */
  void closing(long now, long at);

  void probed(long now, HostId host, boolean answered, LoadReport report);

  /** A time asked for with {@link Outlet#wake} has come. */
  void woken(long now);
}
