package rushwood.lifecycle;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ListedHost;
import rushwood.api.Product;
import rushwood.api.ZoneId;
import rushwood.decision.Choice;
import rushwood.state.Agenda;
import rushwood.state.Clock;
import rushwood.state.Counters;
import rushwood.state.Router;
import rushwood.wire.Clients;
import rushwood.wire.RehearsedLinks;

/**
 * Plays accesses through a router of its own, without sockets, before the real one is ready: cold code costs
 * most of a core in the first second, and on part of a core clients would wait past their time for it.
 */
final class Rehearsal {
    private static final int CLIENTS = 8; // at once: some park, as in a busy second
    private static final int ROUNDS = 100; // 800 accesses: the compiler takes a method after 200 calls
    private static final long LONGEST = 400_000_000; // nanoseconds: a slow core is ready late, but is ready
    private static final int HOSTS = 4;
    private static final long MS = 1_000_000L;
    private static final long START = 1L << 60; // some Unix time

    private final List<Product> products;
    private final RehearsedLinks links;
    private final Deque<Runnable> turnEnds = new ArrayDeque<>();
    private final Counters counters = new Counters();
    private final Router router;
    private final List<EmbeddedChannel> channels = new ArrayList<>();
    private long time = START;
    private long timerAt;
    private Runnable timer;

    Rehearsal(Config config, ByteBufAllocator allocator) {
        products = config.settings().products();
        links = new RehearsedLinks(allocator);
        Clock clock = new Clock(() -> time, turnEnds::add);
        Agenda agenda = new Agenda(clock, (delay, task) -> {
            timerAt = time + delay;
            timer = task;
        });
        router = new Router(clock, agenda, counters, new Router.Limits(CLIENTS, config.openWithin(),
                config.idleFor(), true), links, () -> links.asked(false, "probe"), () -> { }, line -> { },
                outlet -> new Choice(config.settings(), new SplittableRandom(config.seed()), outlet));
        Clients clients = new Clients(router, clock, agenda, counters, products, CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            channels.add(new EmbeddedChannel(clients));
        }
    }

    /** What came of it, for whoever wants to know that it still does something. */
    Counters play() {
        List<Router.Place> places = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            places.add(new Router.Place(new ListedHost(new HostId("h" + i), new GroupId(0), new ZoneId(""), 1, 0,
                    i == 0, ListedHost.State.IN_SERVICE), new InetSocketAddress(0)));
        }
        router.listed(places, true);
        long end = System.nanoTime() + LONGEST;
        for (int round = 0; round < ROUNDS && System.nanoTime() < end; round++) {
            round(round);
        }
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
        router.close();
        return counters;
    }

    private void round(int round) {
        for (int i = 0; i < CLIENTS; i++) {
            Product product = products.get((round + i) % products.size());
            String comment = "/* id=" + round + "-" + i + ",c=" + product.name() + ",d=50,cluster=0 */";
            String statement = product.need() == Product.Need.WRITE
                    ? "INSERT INTO state (uid, val) VALUES ('k', '\\x00') RETURNING val " + comment
                    : "SELECT val FROM state WHERE uid = 'k' " + comment;
            channels.get(i).writeInbound(links.asked(round == 0, statement));
            step();
        }
        links.answer();
        for (int i = 0; i < CLIENTS; i++) {
            step();
            links.answer();
            channels.get(i).runPendingTasks();
            channels.get(i).releaseOutbound();
        }
    }

    /** A turn of the loop, some milliseconds on. */
    private void step() {
        turnEnds.forEach(Runnable::run);
        turnEnds.clear();
        time += 2 * MS;
        if (timer != null && timerAt <= time) {
            Runnable task = timer;
            timer = null;
            task.run();
        }
    }
}
