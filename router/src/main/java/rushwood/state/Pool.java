package rushwood.state;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rushwood.api.AttemptOutcome;
import rushwood.api.HostId;
import rushwood.state.Counters.Count;

/**
 * The connections to each host: one errand at a time on each, idle ones reused, the freshest first.
 */
final class Pool {
  private static final long SWEEP = 1_000_000_000L; // between looks at idle connections
  // What a host does behind its answer, a close or bytes unasked, would hit the next statement: a
  // connection rests
  // until that is sure to be here and seen. Loopback and one data centre bring it within a
  // millisecond. Harm: a few
  // connections more a host.
  private static final long SETTLED = 2_000_000L;
  private static final int KEPT_SHARE =
      2; // idle ones go at this part of the hosts' limit, far from a race
  // Where one that rested breaks at its next use, less rest is safe from then on, down to this;
  // each sweep allows a
  // quarter more. Guards against whatever drops idle connections silently; harm: connections opened
  // more often.
  private static final long KEPT_LEAST = 100_000_000L;
  private static final int KEPT_MORE = 4;

  // Nothing begins over 0.1 s after its client closed: half of that may pass without a look at the
  // clients.
  private static final long GONE_UNSEEN = 50_000_000L;
  // The part of the grace for leaving hosts that may pass between two turns, or in one, without a
  // look at the list.
  private static final int STALE_SHARE = 4;

  private final Map<HostId, Host> hosts = new LinkedHashMap<>();
  private final Link.Opener opener;
  private final Clock clock;
  private final Agenda agenda;
  private final Counters counters;
  private final Router.Limits limits;
  private long kept;
  private int connections;

  private static final class Host {
    InetSocketAddress address;
    final Deque<Connection> idle = new ArrayDeque<>(); // the one longest idle last
    final Set<Connection> chosen =
        new LinkedHashSet<>(); // for an errand of which nothing is written yet
    boolean forgotten;
    boolean leaving;
  }

  Pool(Link.Opener opener, Clock clock, Agenda agenda, Counters counters, Router.Limits limits) {
    this.opener = opener;
    this.clock = clock;
    this.agenda = agenda;
    this.counters = counters;
    this.limits = limits;
    kept = limits.idleFor() / KEPT_SHARE;
    agenda.add(clock.now() + SWEEP, this::sweep);
  }

  /** Where a host is; connections that stand idle to another address are closed. */
  void place(HostId id, InetSocketAddress address, boolean inService) {
    Host host = hosts.computeIfAbsent(id, each -> new Host());
    host.leaving &= !inService;
    if (!address.equals(host.address)) {
      closeIdle(host);
      host.address = address;
    }
  }

  /** It is gone for good: of what is still out there nothing comes back to be used again. */
  void forget(HostId id) {
    Host host = hosts.remove(id);
    if (host != null) {
      host.forgotten = true;
      leave(host);
    }
  }

  int places() {
    return hosts.size();
  }

  /** Nothing new is wanted there. */
  void rest(HostId id) {
    Host host = hosts.get(id);
    if (host != null) {
      leave(host);
    }
  }

  /**
   * What was chosen for it and waits for its connection is not begun: its grace may be over before
   * that is up.
   */
  private void leave(Host host) {
    host.leaving = true;
    closeIdle(host);
    List.copyOf(host.chosen).forEach(Connection::keepBack);
  }

  private static void closeIdle(Host host) {
    while (!host.idle.isEmpty()) {
      host.idle.pop().close();
    }
  }

  /** Runs an errand on an idle connection or a new one; false if no socket may be had. */
  boolean run(Errand errand) {
    Host host = hosts.get(errand.host);
    if (!counters.must(host != null, "a host of the list")) {
      return false;
    }
    if (host.leaving) {
      counters.add(Count.SHOTS_KEPT_BACK);
      return false;
    }
    Connection connection = rested(host);
    if (connection != null) {
      counters.add(Count.CONNECTIONS_REUSED);
      connection.rested = clock.now() - connection.idleSince;
      connection.take(errand);
      connection.askSoon();
      return true;
    }
    if (!errand.probe() && !limits.dials().may(errand.host, clock.now())) {
      counters.add(Count.DIALS_PACED);
      return false;
    }
    if (connections >= limits.sockets().forHosts() && !closeOldest()) {
      return false;
    }
    counters.add(Count.CONNECTIONS_OPENED);
    new Connection(errand.host, host).start(errand);
    return true;
  }

  /** The freshest that has rested; the others age, and go before they are of no use. */
  private Connection rested(Host host) {
    for (Iterator<Connection> each = host.idle.iterator(); each.hasNext(); ) {
      Connection connection = each.next();
      long rested = clock.now() - connection.idleSince;
      if (rested >= SETTLED) {
        each.remove();
        if (rested < kept && connection.link.open()) {
          return connection;
        }
        connection.close();
      }
    }
    return null;
  }

  /** The errand is no longer waited for: what it may have begun on a connection ends with it. */
  void stop(Errand errand) {
    Connection connection = errand.on;
    if (connection != null) {
      connection.errand = null;
      connection.host.chosen.remove(connection);
      errand.on = null;
      if (connection.asked) {
        connection.close();
      }
    }
  }

  private boolean closeOldest() {
    Connection oldest = null;
    for (Host host : hosts.values()) {
      Connection last = host.idle.peekLast();
      if (last != null && (oldest == null || last.idleSince < oldest.idleSince)) {
        oldest = last;
      }
    }
    if (oldest == null) {
      return false;
    }
    oldest.host.idle.removeLast();
    oldest.close();
    return true;
  }

  /**
   * Closes what stands idle before the host does: a statement that meets such a close may have run.
   */
  private void sweep() {
    agenda.add(clock.now() + SWEEP, this::sweep);
    kept = Math.min(limits.idleFor() / KEPT_SHARE, kept + kept / KEPT_MORE);
    long since = clock.now() - kept;
    for (Host host : hosts.values()) {
      while (!host.idle.isEmpty() && host.idle.peekLast().idleSince <= since) {
        host.idle.removeLast().close();
      }
    }
  }

  private void count(int more) {
    connections += more;
    limits.sockets().hosts(connections, clock.now());
  }

  void closeAll() {
    hosts.values().forEach(Pool::closeIdle);
  }

  /** One connection and the errand that it is on. */
  final class Connection implements Link.Events {
    private final HostId id;
    private final Host host;
    private final InetSocketAddress address;
    private Link link;
    private Errand errand;
    private Agenda.Entry opening;
    private boolean asked;
    private boolean closed;
    private long idleSince;
    private long rested; // before its last use; 0 at the first

    private Connection(HostId id, Host host) {
      this.id = id;
      this.host = host;
      address = host.address;
      count(1);
    }

    boolean asked() {
      return asked;
    }

    private void start(Errand first) {
      take(first);
      limits.dials().begun(id);
      opening = agenda.add(clock.now() + limits.openWithin(), this::neverUp);
      link = opener.open(address, this);
    }

    private void take(Errand next) {
      errand = next;
      next.on = this;
      host.chosen.add(this);
    }

    /**
     * After a pause news may be here that was not read before this errand was chosen: the first
     * turn after it reads all sockets in no order. So it is written in the turn after that one, if
     * its host is still there.
     */
    private void askSoon() {
      if (clock.isStale(Math.min(limits.grace() / STALE_SHARE, GONE_UNSEEN))) {
        counters.add(Count.SHOTS_DEFERRED);
        agenda.add(clock.now() + 1, this::askLater);
      } else {
        ask();
      }
    }

    private void askLater() {
      if (closed) {
        return;
      }
      if (errand == null) {
        rest();
      } else {
        ask();
      }
    }

    /** Its host leaves, and nothing of the errand is written. */
    private void keepBack() {
      counters.add(Count.SHOTS_KEPT_BACK);
      close();
      end(HostAnswer.of(AttemptOutcome.NOT_SENT));
    }

    private void ask() {
      host.chosen.remove(this);
      if (clock.now() >= errand.beginBy) {
        Errand late = errand;
        errand = null;
        counters.add(Count.SHOTS_KEPT_BACK);
        rest();
        end(late, HostAnswer.of(AttemptOutcome.NOT_SENT));
        return;
      }
      counters.must(!asked && !closed, "one errand at a time on a connection");
      asked = true;
      link.ask(errand.statement(), errand.probe());
    }

    private void neverUp() {
      limits.dials().failed(id, clock.now());
      counters.add(Count.CONNECTIONS_FAILED);
      close();
      end(HostAnswer.of(AttemptOutcome.CONNECT_FAILED));
    }

    @Override
    public void opened() {
      opening.callOff();
      limits.dials().opened(id);
      if (errand != null) {
        askSoon();
      } else {
        rest();
      }
    }

    @Override
    public void answered(HostAnswer answer, boolean again) {
      asked = false;
      if (again) {
        // Idle before the module hears: it may have the next shot for it at once.
        Errand done = errand;
        errand = null;
        rest();
        end(done, answer);
      } else {
        close();
        end(answer);
      }
    }

    @Override
    public void broken(boolean accepted) {
      boolean up = !opening.callOff();
      if (!up) {
        counters.add(Count.CONNECTIONS_FAILED);
        limits.dials().failed(id, clock.now());
      }
      if (asked && rested > KEPT_LEAST) {
        kept = Math.min(kept, Math.max(KEPT_LEAST, rested / 2));
      }
      // One that was accepted and breaks unwritten proves that nothing ran, not that the host is
      // down.
      AttemptOutcome end =
          !accepted
              ? AttemptOutcome.CONNECT_FAILED
              : asked && link.written() ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.NOT_SENT;
      host.idle.remove(this);
      close();
      end(HostAnswer.of(end));
    }

    private void rest() {
      if (address.equals(host.address) && !host.leaving) {
        idleSince = clock.now();
        host.idle.push(this);
      } else {
        close();
      }
    }

    private void end(HostAnswer answer) {
      Errand done = errand;
      errand = null;
      end(done, answer);
    }

    private void end(Errand done, HostAnswer answer) {
      if (done == null) {
        answer.release();
      } else {
        done.on = null;
        done.ended(answer);
      }
    }

    private void close() {
      if (!closed) {
        closed = true;
        host.chosen.remove(this);
        count(-1);
        counters.add(Count.CONNECTIONS_CLOSED);
        if (opening.callOff()) {
          limits.dials().calledOff(id);
        }
        if (link != null) {
          link.close();
        }
      }
    }
  }
}
