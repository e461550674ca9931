package rushwood.state;

import io.netty.buffer.ByteBuf;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import rushwood.api.AttemptOutcome;
import rushwood.api.AttemptResult;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.PolicyActions;
import rushwood.api.Request;
import rushwood.api.RequestId;
import rushwood.api.RoutingPolicy;
import rushwood.state.Counters.Count;
import rushwood.storm.Dials;
import rushwood.storm.Sockets;

/**
 * Carries the calls of the network to the decisions and what they decide back to the network.
 * Decides nothing: the ends of shots wait in a line until the decisions have returned from their
 * last call.
 */
public final class Router {
  /** A host of the list and where it listens. */
  public record Place(Endpoint host, InetSocketAddress address) {}

  /**
   * What can be read of an entry that is bad as a whole: its host, and that host's state or null.
   */
  public record Partial(HostId id, Endpoint.State state) {}

  /**
   * The sockets that connections to hosts come from, what paces attempts, how long one may take to
   * come up, how long hosts leave one idle, whether a host that the list does not have any more is
   * never sent to, and within which time sends to a leaving host have to end.
   */
  public record Limits(
      Sockets sockets, Dials dials, long openWithin, long idleFor, boolean goneBinds, long grace) {}

  private static final class Open {
    final RequestId id;
    final Statement statement;
    final List<Shot> shots = new ArrayList<>();
    Client client;
    int out;

    Open(RequestId id, Statement statement, Client client) {
      this.id = id;
      this.statement = statement;
      this.client = client;
    }
  }

  private final class Shot extends Errand {
    final Open open;
    final int number;
    final long sentAt;
    final long timeOut;
    Agenda.Entry expiry;

    Shot(Open open, HostId host, long sentAt, long timeOut) {
      super(host);
      this.open = open;
      this.number = open.shots.size();
      this.sentAt = sentAt;
      this.timeOut = timeOut;
    }

    @Override
    ByteBuf statement() {
      return open.statement.message(Math.max(1, (sentAt + timeOut - clock.now()) / MS));
    }

    @Override
    void ended(HostAnswer answer) {
      end(this, answer);
    }
  }

  private final class Probe extends Errand {
    Probe(HostId host) {
      super(host);
    }

    @Override
    ByteBuf statement() {
      return probe.get();
    }

    @Override
    boolean probe() {
      return true;
    }

    @Override
    void ended(HostAnswer answer) {
      over = true;
      boolean answered = answer.end() == AttemptOutcome.SUCCESS;
      if (answered) {
        counters.add(Count.PROBES_ANSWERED);
      }
      answer.release();
      ends.add(() -> decisions.probeFinished(clock.now(), host, answered, answer.report()));
      settle();
    }
  }

  private static final long MS = 1_000_000L;
  private static final int REMEMBERED = 2000; // ids of accesses that are over: some seconds of them

  private final Map<RequestId, Open> opens = new HashMap<>();
  private final Set<RequestId> ended = new LinkedHashSet<>();
  private final Deque<Runnable> ends = new ArrayDeque<>();
  private final Map<HostId, Place> known = new LinkedHashMap<>();
  private final Set<GroupId> groups = new HashSet<>();
  private final Clock clock;
  private final Agenda agenda;
  private final Counters counters;
  private final Pool pool;
  private final Supplier<ByteBuf> probe;
  private final Runnable subscribe;
  private final Consumer<String> log;
  private final RoutingPolicy decisions;
  private final long probeWithin;
  private final boolean goneBinds;
  private long closesAt = Long.MAX_VALUE;
  private boolean telling;
  private Agenda.Entry wake;
  private long open;

  /** With the parts that a router works through, and what makes its decisions from their outlet. */
  public Router(
      Clock clock,
      Agenda agenda,
      Counters counters,
      Limits limits,
      Link.Opener links,
      Supplier<ByteBuf> probe,
      Runnable subscribe,
      Consumer<String> log,
      Function<PolicyActions, RoutingPolicy> maker) {
    this.clock = clock;
    this.agenda = agenda;
    this.counters = counters;
    this.probe = probe;
    this.subscribe = subscribe;
    this.log = log;
    probeWithin = limits.openWithin();
    goneBinds = limits.goneBinds();
    pool = new Pool(links, clock, agenda, counters, limits);
    decisions = maker.apply(new Out());
  }

  // ---- what the network tells

  public void listed(List<Place> places, boolean remembered) {
    listed(places, List.of(), remembered);
  }

  /**
   * The whole list, with what is left of bad entries: a host of which no state can be read stays as
   * it was.
   */
  public void listed(List<Place> places, List<Partial> partials, boolean remembered) {
    List<Place> all = new ArrayList<>(places);
    all.addAll(complete(partials));
    Set<HostId> named = new HashSet<>();
    all.forEach(place -> named.add(place.host().id()));
    List<HostId> absent = known.keySet().stream().filter(id -> !named.contains(id)).toList();
    place(all);
    tell(
        () ->
            decisions.endpointsReplaced(
                clock.now(), all.stream().map(Place::host).toList(), remembered));
    leave(all);
    absent.forEach(this::gone);
  }

  /** Changes of hosts never heard of, gone already, say nothing. */
  public void listChanged(List<Place> changes, List<Partial> partials) {
    List<Place> heard = new ArrayList<>(changes);
    heard.removeIf(
        each ->
            !known.containsKey(each.host().id()) && each.host().state() == Endpoint.State.REMOVED);
    heard.addAll(complete(partials));
    place(heard);
    tell(() -> decisions.endpointsUpdated(clock.now(), heard.stream().map(Place::host).toList()));
    leave(heard);
  }

  private List<Place> complete(List<Partial> partials) {
    List<Place> whole = new ArrayList<>();
    for (Partial each : partials) {
      Place is = known.get(each.id());
      if (is != null) {
        Endpoint host = is.host();
        whole.add(
            each.state() == null
                ? is
                : new Place(
                    new Endpoint(
                        host.id(),
                        host.group(),
                        host.zone(),
                        host.weight(),
                        host.startedAt(),
                        host.primary(),
                        each.state()),
                    is.address()));
      }
    }
    return whole;
  }

  /**
   * The decisions have heard it and choose none of these any more; what they chose before is not
   * begun now.
   */
  private void leave(List<Place> places) {
    for (Place place : places) {
      if (place.host().state() == Endpoint.State.DRAINING) {
        pool.rest(place.host().id());
      } else if (place.host().state() == Endpoint.State.REMOVED) {
        gone(place.host().id());
      }
    }
  }

  /** Forgotten once the decisions have heard that it is gone; it may come back under its id. */
  private void gone(HostId id) {
    if (goneBinds) {
      known.remove(id);
      pool.forget(id);
    }
  }

  /** How many hosts are kept. */
  int hosts() {
    return pool.places();
  }

  private void place(List<Place> places) {
    for (Place place : places) {
      Endpoint host = place.host();
      known.put(host.id(), place);
      groups.add(host.group());
      pool.place(host.id(), place.address(), host.state() == Endpoint.State.READY);
    }
  }

  public void listFailed() {
    counters.add(Count.LISTS_FAILED);
  }

  public boolean hasList() {
    return !known.isEmpty();
  }

  public boolean knows(GroupId group) {
    return groups.contains(group);
  }

  /**
   * Whether an access of that id is open or was a moment ago: each has a new one, and must not run
   * twice.
   */
  public boolean isTaken(RequestId id) {
    return opens.containsKey(id) || ended.contains(id);
  }

  /** Accesses that still wait for their answer. */
  public long openAccesses() {
    return open;
  }

  public void arrived(Statement statement, Client client) {
    long now = clock.now();
    Request access = statement.access(now, clock.cameAt(), closesAt);
    counters.add(Count.ACCESSES_TAKEN);
    counters.must(!opens.containsKey(access.id()), "an id stands for one access");
    open++;
    Open taken = new Open(access.id(), statement, client);
    opens.put(access.id(), taken);
    tell(taken, () -> decisions.requestReceived(now, access));
  }

  public void left(RequestId id) {
    Open access = opens.get(id);
    if (access != null && access.client != null) {
      counters.add(Count.ACCESSES_LEFT);
      over(access);
      tell(
          access,
          () -> {
            decisions.clientDisconnected(clock.now(), id);
            keepBack(access);
          });
    }
  }

  /**
   * What is chosen and not begun is for nobody any more, whether or not hosts can be told to stop.
   */
  private void keepBack(Open access) {
    for (Shot shot : List.copyOf(access.shots)) {
      if (!shot.over && (shot.on == null || !shot.on.asked())) {
        counters.add(Count.SHOTS_KEPT_BACK);
        stop(shot, AttemptOutcome.CANCELLED);
      }
    }
  }

  /**
   * No access has longer than until then, those included that are open: this router is not there
   * any more.
   */
  public void closing(long at) {
    closesAt = at;
    tell(() -> decisions.shuttingDown(clock.now(), at));
  }

  public void close() {
    pool.closeAll();
  }

  // ---- the ends of shots

  private void end(Shot shot, HostAnswer answer) {
    if (shot.over) {
      answer.release();
      return;
    }
    shot.over = true;
    shot.expiry.callOff();
    counters.add(Count.valueOf("SHOTS_" + answer.end()));
    Open access = shot.open;
    access.out--;
    counters.must(access.out >= 0, "a shot ends once");
    if (answer.end() == AttemptOutcome.SUCCESS && access.client != null) {
      counters.add(Count.ACCESSES_FULFILLED);
      over(access).fulfilled(answer.row());
    } else {
      answer.release();
    }
    tell(
        access,
        () ->
            decisions.attemptFinished(
                clock.now(),
                new AttemptResult(
                    access.id,
                    shot.number,
                    shot.host,
                    answer.end(),
                    clock.now() - shot.sentAt,
                    access.client == null,
                    answer.primary(),
                    answer.position(),
                    answer.report())));
  }

  private Client over(Open access) {
    Client client = access.client;
    access.client = null;
    open--;
    return client;
  }

  private void forget(Open access) {
    if (access.client == null && access.out == 0 && opens.remove(access.id, access)) {
      access.statement.release();
      ended.add(access.id);
      if (ended.size() > REMEMBERED) {
        ended.remove(ended.iterator().next());
      }
    }
  }

  /** Stops waiting for a shot; one that was never written is known not to have run. */
  private void stop(Shot shot, AttemptOutcome end) {
    boolean asked = shot.on != null && shot.on.asked();
    pool.stop(shot);
    end(shot, HostAnswer.of(asked ? end : AttemptOutcome.NOT_SENT));
  }

  /**
   * Where the decisions fail over an access and leave it without a shot, it is given up: it has its
   * answer.
   */
  private void tell(Open access, Runnable call) {
    tell(
        () -> {
          if (!counters.safely(call) && access.client != null && access.out == 0) {
            counters.add(Count.ACCESSES_GIVEN_UP);
            over(access).givenUp();
          }
          forget(access);
        });
  }

  private void tell(Runnable call) {
    ends.add(call);
    settle();
  }

  /** One call at a time, in the order of events: none begins while another has not returned. */
  private void settle() {
    if (telling) {
      return;
    }
    telling = true;
    try {
      for (Runnable next = ends.poll(); next != null; next = ends.poll()) {
        counters.safely(next);
      }
    } finally {
      telling = false;
    }
  }

  // ---- what the decisions do

  private final class Out implements PolicyActions {
    @Override
    public void send(RequestId id, HostId host, long timeOut, long beginWithin) {
      Open access = opens.get(id);
      if (!counters.must(access != null && access.client != null, "a shot for an open access")) {
        return;
      }
      long now = clock.now();
      Shot shot = new Shot(access, host, now, timeOut);
      shot.beginBy = now + Math.min(timeOut, beginWithin);
      access.shots.add(shot);
      access.out++;
      counters.add(Count.SHOTS_SENT);
      shot.expiry = agenda.add(now + timeOut, () -> stop(shot, AttemptOutcome.TIMED_OUT));
      if (timeOut <= 0 || !pool.run(shot)) {
        end(shot, HostAnswer.of(AttemptOutcome.NOT_SENT));
      }
    }

    @Override
    public void cancel(RequestId id, int number) {
      Open access = opens.get(id);
      if (access != null && !access.shots.get(number).over) {
        stop(access.shots.get(number), AttemptOutcome.CANCELLED);
      }
    }

    @Override
    public void reject(RequestId id, long advice) {
      Client client = finish(id);
      if (client != null) {
        counters.add(Count.ACCESSES_TURNED_BACK);
        client.turnedBack(advice);
      }
    }

    @Override
    public void fail(RequestId id) {
      Client client = finish(id);
      if (client != null) {
        counters.add(Count.ACCESSES_GIVEN_UP);
        client.givenUp();
      }
    }

    private Client finish(RequestId id) {
      Open access = opens.get(id);
      if (access == null || access.client == null) {
        return null; // it was fulfilled or left a moment ago
      }
      Client client = over(access);
      forget(access);
      return client;
    }

    @Override
    public void probe(HostId host) {
      counters.add(Count.PROBES_SENT);
      Probe errand = new Probe(host);
      agenda.add(
          clock.now() + probeWithin,
          () -> {
            if (!errand.over) {
              pool.stop(errand);
              errand.ended(HostAnswer.of(AttemptOutcome.TIMED_OUT));
            }
          });
      if (!pool.run(errand)) {
        errand.ended(HostAnswer.of(AttemptOutcome.NOT_SENT));
      }
    }

    @Override
    public void wakeAt(long at) {
      if (wake != null) {
        wake.callOff();
      }
      wake = agenda.add(at, () -> tell(() -> decisions.timerFired(clock.now())));
    }

    @Override
    public void subscribeToEndpoints() {
      subscribe.run();
    }

    @Override
    public void log(String line) {
      log.accept(line);
    }
  }
}
