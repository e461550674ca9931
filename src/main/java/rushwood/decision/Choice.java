package rushwood.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import rushwood.api.Access;
import rushwood.api.AccessId;
import rushwood.api.Answer;
import rushwood.api.Decisions;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ListedHost;
import rushwood.api.LoadReport;
import rushwood.api.Outlet;
import rushwood.api.Product.Effect;
import rushwood.api.Product.Need;
import rushwood.api.Product.Scope;
import rushwood.api.SessionId;
import rushwood.api.Settings;
import rushwood.api.ShotEnd;

/**
 * Every decision of one router. A caller makes one with the settings, a source of chance and an Outlet, then calls the
 * methods of rushwood.api.Decisions, which defines the interface, in the order of events; what is decided is done
 * through the Outlet before the call returns. It keeps no clock and starts nothing by itself: it asks to be woken.
 */
public final class Choice implements Decisions {
    private static final long MS = 1_000_000L;

    /** How often the parked are looked at again; the design's figure. */
    private static final long RECHECK = 100 * MS;

    /** What a stage says of an access: on to the next, kept for later, or done with. */
    private enum Step { PASS, KEEP, END }

    /** A stage of the chain; answers run through the chain in reverse. */
    private interface Stage {
        Step in(Held held, long now);

        void back(Held held, Shot shot, Answer answer, long now);
    }

    private final Settings settings;
    private final RandomGenerator chance;
    private final Outlet outlet;
    private final Stage limits = new Limits();
    private final Stage freshness = new Freshness();
    private final Stage sending = new Sending();
    private final List<Stage> chain = List.of(limits, new Effects(), freshness, new Placing(), sending);
    private final Map<HostId, HostState> hosts = new LinkedHashMap<>();
    private final Map<GroupId, GroupState> groups = new TreeMap<>((a, b) -> Integer.compare(a.value(), b.value()));
    private final Map<AccessId, Held> taken = new HashMap<>();
    private final Map<SessionId, Long> written = new LinkedHashMap<>();
    private final DueTimes dues = new DueTimes();
    private final double[] usual;
    private final long bound;
    private final int slotFloor;
    private long nextTick = Long.MIN_VALUE;
    private long asked = Long.MAX_VALUE;
    private long askAgain = Long.MAX_VALUE;
    private long askGap;

    public Choice(Settings settings, RandomGenerator chance, Outlet outlet) {
        this.settings = settings;
        this.chance = chance;
        this.outlet = outlet;
        usual = settings.products().stream().mapToDouble(p -> p.quotedTime() * USUAL_SHARE).toArray();
        bound = settings.products().stream().filter(p -> p.need() == Need.BOUNDED).mapToLong(p -> p.bound()).min()
                .orElse(AGE_BOUND);
        slotFloor = Math.max(1, FLEET_SLOTS / Math.max(1, settings.routers()));
    }

    /** A product's usual time before any answer has told it; a guess, soon forgotten. */
    private static final double USUAL_SHARE = 0.25;

    /** How old a known position may grow before a probe, where no product bounds its age. */
    private static final long AGE_BOUND = 500 * MS;

    /** Slots that all routers together always have at a host: enough to keep a handful of cores at work. */
    private static final int FLEET_SLOTS = 12;

    // ---- the list of hosts

    @Override
    public void listed(long now, List<ListedHost> list, boolean remembered) {
        List<HostId> named = new ArrayList<>();
        list.forEach(host -> named.add(host.id()));
        for (GroupState group : groups.values()) {
            for (HostState host : List.copyOf(group.members)) {
                if (!named.contains(host.id)) {
                    remove(host, now);
                }
            }
        }
        listChanged(now, list);
        if (remembered) {
            nextTick = now;
            if (settings.askForList()) {
                outlet.subscribe();
            }
            wake(now + settings.resolution());
        }
    }

    @Override
    public void listChanged(long now, List<ListedHost> changes) {
        askGap = 0;
        for (ListedHost listed : changes) {
            HostState host = hosts.computeIfAbsent(listed.id(), HostState::new);
            if (listed.state() != ListedHost.State.IN_SERVICE) {
                host.listed = listed;
                remove(host, now);
                continue;
            }
            GroupState group = groups.computeIfAbsent(listed.group(), id -> new GroupState());
            boolean restarted = host.listed != null && listed.startedAt() > host.listed.startedAt();
            host.listed = listed;
            if (host.group != group) {
                join(host, group);
            }
            if (restarted || listed.startedAt() > host.warmFrom) {
                host.warmFrom = Math.max(host.warmFrom, listed.startedAt());
            }
            // The list is seconds late: it only fills in where nothing better is known.
            if (listed.primary() && group.primary == null && host.roleAt == Long.MIN_VALUE) {
                host.primary = true;
                group.primary = host;
            }
        }
        groups.values().forEach(group -> group.members.forEach(host -> serve(host, now)));
    }

    private void join(HostState host, GroupState group) {
        if (host.group != null) {
            host.group.members.remove(host);
        }
        host.group = group;
        host.cap = 2 * slotFloor;
        group.members.add(host);
        group.members.sort((a, b) -> a.id.value().compareTo(b.id.value()));
    }

    /** Nothing new goes to a host from the moment the list says that it drains or is gone, well inside any grace. */
    private void remove(HostState host, long now) {
        if (host.group != null) {
            host.group.members.remove(host);
            if (host.group.primary == host) {
                host.group.primary = null;
            }
            host.group = null;
        }
        host.primary = false;
    }

    /** Asks again with growing, jittered waits, so that routers that failed together do not return together. */
    @Override
    public void listFailed(long now) {
        askGap = Math.min(Math.max(2 * askGap, 2 * RECHECK), settings.askWithin() / 4);
        askAgain = now + askGap / 2 + chance.nextLong(askGap);
        wake(askAgain);
    }

    // ---- accesses

    @Override
    public void arrived(long now, Access access) {
        GroupState group = groups.computeIfAbsent(access.group(), id -> new GroupState());
        Held held = new Held(access, group, now);
        taken.put(access.id(), held);
        dues.add(access.due() - 2 * settings.resolution(), held);
        run(held, now);
        wake(dues.earliest());
    }

    private void run(Held held, long now) {
        for (Stage stage : chain) {
            Step step = stage.in(held, now);
            if (step == Step.END) {
                finish(held, now);
            }
            if (step != Step.PASS) {
                return;
            }
        }
    }

    @Override
    public void answered(long now, Answer answer) {
        Held held = taken.get(answer.access());
        if (held == null || answer.shot() < 0 || answer.shot() >= held.shots.size()) {
            throw new IllegalArgumentException("unknown access or shot: " + answer.access() + " " + answer.shot());
        }
        Shot shot = held.shots.get(answer.shot());
        for (int i = chain.size() - 1; i >= 0; i--) {
            chain.get(i).back(held, shot, answer, now);
        }
        if (!held.over && !held.parked && !held.out()) {
            run(held, now);
        }
        forget(held);
        serve(shot.host, now);
        wake(dues.earliest());
    }

    @Override
    public void left(long now, AccessId access) {
        Held held = taken.get(access);
        if (held != null && !held.over) {
            close(held);
            withdraw(held);
            forget(held);
        }
    }

    /** The one final answer: a turn-back only where no shot can have run, else a promise of nothing. */
    private void finish(Held held, long now) {
        boolean harmless = held.access.product().effect() == Effect.REDOABLE || held.mayHaveRun() == null;
        withdraw(held);
        close(held);
        if (harmless) {
            outlet.turnBack(held.access.id(), 0);
        } else {
            outlet.giveUp(held.access.id());
        }
        forget(held);
    }

    private void close(Held held) {
        held.over = true;
        unpark(held);
        if (held.group.scout == held) {
            held.group.scout = null;
        }
    }

    private void withdraw(Held held) {
        if (held.out() && settings.mayCancel()) {
            Shot shot = held.shots.get(held.shots.size() - 1);
            if (!shot.withdrawn) {
                shot.withdrawn = true;
                outlet.withdraw(held.access.id(), shot.number);
            }
        }
    }

    private void forget(Held held) {
        if (held.over && !held.out()) {
            taken.remove(held.access.id());
        }
    }

    // ---- stage: the limits of time

    private final class Limits implements Stage {
        /** Ends an access whose outer limit can no longer be met even by a quick answer. */
        @Override
        public Step in(Held held, long now) {
            double least = held.shots.isEmpty() ? usual[held.access.product().index()] * QUICK : settings.resolution();
            return now + least > held.access.due() - 2 * settings.resolution() ? Step.END : Step.PASS;
        }

        @Override
        public void back(Held held, Shot shot, Answer answer, long now) {
            if (answer.over() && !held.over) {
                close(held);
            }
        }
    }

    /** A quick answer as a share of the usual time: about one in four is quicker. */
    private static final double QUICK = 0.3;

    // ---- stage: what may happen twice

    private final class Effects implements Stage {
        @Override
        public Step in(Held held, long now) {
            if (held.shots.isEmpty()) {
                return Step.PASS;
            }
            if (held.out()) {
                return Step.KEEP;
            }
            return held.shots.size() < settings.mostShots() && mayRepeat(held, null, now) ? Step.PASS : Step.END;
        }

        @Override
        public void back(Held held, Shot shot, Answer answer, long now) {
            shot.end = answer.end();
        }
    }

    /** Whether a further shot breaks no promise; with a host, whether it may go there. */
    private boolean mayRepeat(Held held, HostState to, long now) {
        Shot ran = held.mayHaveRun();
        var product = held.access.product();
        if (ran == null || product.effect() == Effect.REDOABLE) {
            return true;
        }
        if (product.effect() == Effect.IRREVERSIBLE || now >= ran.sentAt + product.window() * WINDOW_USED) {
            return false;
        }
        return to == null || product.scope() == Scope.EVERYWHERE
                || product.scope() == Scope.GROUP && to.listed.group().equals(ran.host.listed.group())
                || product.scope() == Scope.ZONE && to.listed.zone().equals(ran.host.listed.zone());
    }

    /** The share of a label's window in which repeats go out: the rest is for the way and for clocks that differ. */
    private static final double WINDOW_USED = 0.9;

    // ---- stage: how fresh the data must be

    private final class Freshness implements Stage {
        @Override
        public Step in(Held held, long now) {
            Access access = held.access;
            held.target = switch (access.product().need()) {
                case WRITE, ANY -> Long.MIN_VALUE;
                case CURRENT -> held.arrivedAt;
                case BOUNDED -> now - access.product().bound();
                case SESSION -> settings.routerRemembersWrites() ? remembered(access.session())
                        : access.sinceWrite() > 0 ? held.arrivedAt - access.sinceWrite() + MS : Long.MIN_VALUE;
            };
            return Step.PASS;
        }

        private long remembered(SessionId session) {
            Long commit = session == null ? null : written.get(session);
            return commit == null ? Long.MIN_VALUE : commit;
        }

        @Override
        public void back(Held held, Shot shot, Answer answer, long now) {
            HostState host = shot.host;
            boolean write = held.access.product().need() == Need.WRITE;
            if (write && answer.end() == ShotEnd.FULFILLED) {
                if (held.access.session() != null && settings.routerRemembersWrites()) {
                    written.remove(held.access.session());
                    written.put(held.access.session(), answer.position() >= 0 ? answer.position() : now);
                }
            } else if (answer.position() >= 0) {
                learnPosition(host, answer.position(), now);
            }
            if (answer.primary() != null) {
                learnRole(host, answer.primary(), now);
            }
            learnReport(host, answer.report(), now);
            if (answer.end() == ShotEnd.BEHIND) {
                held.missed.add(host);
                if (write) {
                    host.deniedAt = now;
                    learnRole(host, false, now);
                } else {
                    host.refusedAt = now;
                }
            }
        }
    }

    private void learnPosition(HostState host, long position, long now) {
        if (position <= now) {
            host.position = Math.max(host.position, position);
            host.positionAt = now;
        }
    }

    /**
     * A primary stands at the present, so the position in its report is the report's own time: old reports that arrive
     * late cannot bring back a primary that a later answer has unseated.
     */
    private void learnReport(HostState host, LoadReport report, long now) {
        if (Double.isNaN(report.position())) {
            return;
        }
        long position = (long) report.position();
        learnPosition(host, position, now);
        if (report.primary() != null && position <= now && position > host.roleAt) {
            learnRole(host, report.primary(), position);
        }
        if (!Double.isNaN(report.queue())) {
            host.queue = report.queue();
        }
    }

    /** A host that turns writes away while it calls itself primary is handing over: not believed for a recheck. */
    private void learnRole(HostState host, boolean primary, long as) {
        if (primary && as < host.deniedAt + RECHECK) {
            return;
        }
        host.primary = primary;
        host.roleAt = Math.max(host.roleAt, as);
        GroupState group = host.group;
        if (group == null) {
            return;
        }
        if (!primary && group.primary == host) {
            group.primary = null;
        } else if (primary && group.primary != host && (group.primary == null || as > group.primary.roleAt)) {
            outlet.log("primary is " + host.id);
            group.primary = host;
        }
    }

    // ---- stage: which host

    private final class Placing implements Stage {
        @Override
        public Step in(Held held, long now) {
            held.chosen = held.access.product().need() == Need.WRITE ? placeWrite(held, now) : placeRead(held, now);
            if (held.chosen == null) {
                park(held);
                return Step.KEEP;
            }
            return Step.PASS;
        }

        /** A slot is free again. */
        @Override
        public void back(Held held, Shot shot, Answer answer, long now) {
            shot.host.out.remove(shot);
            if (held.group.scout == held) {
                held.group.scout = null;
            }
        }
    }

    private void park(Held held) {
        if (!held.parked) {
            held.parked = true;
            (held.shots.isEmpty() ? held.group.first : held.group.further).add(held);
        }
    }

    private void unpark(Held held) {
        if (held.parked) {
            held.parked = false;
            (held.shots.isEmpty() ? held.group.first : held.group.further).remove(held);
        }
    }

    /** How well a host fits a read: 0 known fresh, 1 lagging or unknown, 2 the primary as the last way, 3 not at all. */
    private int fit(Held held, HostState host, long now) {
        Need need = held.access.product().need();
        boolean primary = host.group.primary == host;
        if (primary) {
            return need == Need.CURRENT ? 0 : 2;
        }
        if (need == Need.ANY || host.position >= held.target) {
            return 0;
        }
        boolean refused = host.refusedAt > now - RECHECK || held.missed.contains(host);
        return settings.behind() == Settings.Behind.ANSWERS || refused || need == Need.CURRENT ? 3 : 1;
    }

    /** A read that any member may answer and that lasts longer than the lag that others are allowed. */
    private boolean isLong(Held held) {
        return held.access.product().need() == Need.ANY && usual[held.access.product().index()] > bound;
    }

    /**
     * Long reads may keep a replica from applying its log. All routers give them to the same few replicas, the first
     * in id order, so that the others stay fresh; harm: those few do little else.
     */
    private boolean takesLong(HostState host, long now) {
        int before = 0;
        int replicas = 0;
        for (HostState member : host.group.members) {
            if (member != host.group.primary && usable(member, now)) {
                replicas++;
                before += member.id.value().compareTo(host.id.value()) < 0 ? 1 : 0;
            }
        }
        return host != host.group.primary && before < Math.max(1, replicas / 2);
    }

    private HostState placeRead(Held held, long now) {
        List<HostState> members = held.group.members;
        if (isLong(held)) {
            for (HostState host : members) {
                if (takesLong(host, now) && usable(host, now) && free(held, host, now)) {
                    return host;
                }
            }
            return null;
        }
        HostState[] pair = draw(members, now);
        if (pair != null && fit(held, pair[0], now) == 0 && fit(held, pair[1], now) == 0
                && free(held, pair[0], now) && free(held, pair[1], now)) {
            return pair[0].load(now) <= pair[1].load(now) ? pair[0] : pair[1];
        }
        int best = bestFit(held, now);
        return best == 3 ? null : least(members, now, host -> fit(held, host, now) == best && usable(host, now) && free(held, host, now));
    }

    private int bestFit(Held held, long now) {
        int best = 3;
        for (HostState host : held.group.members) {
            if (best > 0 && usable(host, now)) {
                best = Math.min(best, fit(held, host, now));
            }
        }
        return best;
    }

    /** Two different replicas drawn by weight; null unless there are three or more. */
    private HostState[] draw(List<HostState> members, long now) {
        double sum = 0;
        int replicas = 0;
        for (HostState host : members) {
            if (host.group.primary != host) {
                sum += host.listed.weight();
                replicas++;
            }
        }
        if (replicas < 3) {
            return null;
        }
        HostState one = drawn(members, null, sum);
        HostState two = drawn(members, one, sum - one.listed.weight());
        return new HostState[] {one, two};
    }

    private HostState drawn(List<HostState> members, HostState not, double sum) {
        double point = chance.nextDouble() * sum;
        HostState last = null;
        for (HostState host : members) {
            if (host != not && host.group.primary != host) {
                last = host;
                point -= host.listed.weight();
                if (point < 0) {
                    break;
                }
            }
        }
        return last;
    }

    private static HostState least(List<HostState> members, long now, Predicate<HostState> fits) {
        HostState least = null;
        for (HostState host : members) {
            if (fits.test(host) && (least == null || host.load(now) < least.load(now))) {
                least = host;
            }
        }
        return least;
    }

    /** To the last known primary; where none is known one write at a time asks the unheard members in id order. */
    private HostState placeWrite(Held held, long now) {
        GroupState group = held.group;
        HostState primary = group.primary;
        if (primary != null && usable(primary, now)) {
            return free(held, primary, now) ? primary : null;
        }
        if (group.scout != null || held.missed.size() >= Math.min(group.members.size(), settings.mostShots() / 2)) {
            return null;
        }
        for (HostState host : group.members) {
            boolean heard = !host.primary && host.roleAt > now - HEARD;
            if (!heard && host != primary && usable(host, now) && free(held, host, now)
                    && !held.missed.contains(host)) {
                group.scout = held;
                return host;
            }
        }
        return null;
    }

    /** How long a word about a role holds while no primary is known: a few rechecks. */
    private static final long HEARD = 3 * RECHECK;

    /** Well, or all of its group are not: a verdict on health never empties a group. */
    private boolean usable(HostState host, long now) {
        if (host.health == HostState.Health.WELL || onTrial(host, now)) {
            return true;
        }
        for (HostState member : host.group.members) {
            if (member.health == HostState.Health.WELL) {
                return false;
            }
        }
        return true;
    }

    /** A stuck host answers probes all the same, so only a shot can tell that it is well: one, now and then. */
    private boolean onTrial(HostState host, long now) {
        return host.health == HostState.Health.STUCK && now >= host.nextTrial;
    }

    /** Whether a slot is free for that access, within the cap, the cold budget and the promises made. */
    private boolean free(Held held, HostState host, long now) {
        if (onTrial(host, now)) {
            return held.access.product().effect() == Effect.REDOABLE;
        }
        double cap = cap(host, now);
        if (host.group.primary == host && held.access.product().need() != Need.WRITE) {
            cap *= READS_ON_PRIMARY;
        }
        return host.taken(now) < cap && mayRepeat(held, host, now) && withinBudget(held, host, now);
    }

    /** The share of the primary's slots that reads may take: writes can go nowhere else. */
    private static final double READS_ON_PRIMARY = 0.5;

    private double cap(HostState host, long now) {
        if (now < host.pausedUntil) {
            return 0;
        }
        if (host.health != HostState.Health.WELL) {
            return 1;
        }
        return Math.max(1, host.cap * warmth(host, now));
    }

    /** The share of its capacity that a host that started lately has at the least. */
    private double warmth(HostState host, long now) {
        double age = (double) (now - host.warmFrom) / settings.coldFor();
        return host.warmFrom == 0 || age >= 1 ? 1
                : settings.coldFrom() + (1 - settings.coldFrom()) * Math.max(0, age);
    }

    /**
     * A cold host gets, from each router, no more than its warmth times what that router's warm hosts get through: all
     * routers together then stay under its capacity, whatever each of them carries.
     */
    private boolean withinBudget(Held held, HostState host, long now) {
        double warmth = warmth(host, now);
        if (warmth == 1) {
            return true;
        }
        double sum = 0;
        double weight = 0;
        for (GroupState group : groups.values()) {
            for (HostState other : group.members) {
                if (warmth(other, now) == 1) {
                    sum += other.doneRate;
                    weight += other.listed.weight();
                }
            }
        }
        double rate = weight > 0 ? warmth * host.listed.weight() * sum / weight : 0;
        double cost = usual[held.access.product().index()];
        double most = Math.max(cost, rate * settings.fallWindow() * BURST);
        host.allowance = Math.min(most, host.allowance + rate * (now - host.allowanceAt));
        host.allowanceAt = now;
        return host.allowance >= cost;
    }

    /** The share of a fall window's allowance that may be saved up: early bursts count against the whole window. */
    private static final double BURST = 0.25;

    // ---- stage: sending, and what an answer says of the host

    private final class Sending implements Stage {
        @Override
        public Step in(Held held, long now) {
            unpark(held);
            HostState host = held.chosen;
            Shot shot = new Shot(held, held.shots.size(), host, now);
            held.shots.add(shot);
            if (onTrial(host, now)) {
                host.trialGap = Math.min(2 * host.trialGap, LONGEST_GAP);
                host.nextTrial = now + host.trialGap;
            }
            host.out.add(shot);
            host.allowance -= usual[held.access.product().index()];
            outlet.send(held.access.id(), host.id, held.access.due() - 2 * settings.resolution() - now);
            return Step.KEEP;
        }

        @Override
        public void back(Held held, Shot shot, Answer answer, long now) {
            HostState host = shot.host;
            switch (answer.end()) {
                case FULFILLED -> {
                    int product = held.access.product().index();
                    usual[product] += (answer.took() - usual[product]) * SMOOTH;
                    host.doneNow += usual[product];
                    host.fullRow = 0;
                    adapt(host, lateness(held, answer.took()));
                    heardFrom(host, now);
                }
                case ERROR, BEHIND -> heardFrom(host, now);
                case OVERFULL -> {
                    host.cap = Math.max(slotFloor, host.cap * CUT);
                    host.pausedUntil = now + (RECHECK >> Math.max(0, FULL_STEPS - ++host.fullRow));
                    heardFrom(host, now);
                }
                case UNREACHED, BROKEN -> trouble(host, HostState.Health.DOWN, now);
                case EXPIRED -> adapt(host, Math.max(1, lateness(held, answer.took())));
                case WITHDRAWN, UNSENT -> {
                }
            }
            if (answer.end() == ShotEnd.EXPIRED || answer.end() == ShotEnd.WITHDRAWN) {
                host.linger(now, now + (long) usual[held.access.product().index()]);
            }
        }
    }

    // A shot that ran out or was called off may still be at work in its host: its slot stays taken for one more usual
    // time, or hosts that do not stop such work would be given far more than their cap. Harm where they do stop it:
    // a few slots idle for that long.

    /** Weight of a new answer in the usual time: some fifty answers back. */
    private static final double SMOOTH = 0.02;

    /** Cut of a cap on a sign of too much; the usual halving would starve a host on one burst. */
    private static final double CUT = 0.8;

    /** Refusals in a row before a host rests a whole recheck: a host that drains before the list says so refuses all. */
    private static final int FULL_STEPS = 4;

    /** The share of the quoted time that an answer may take before the cap shrinks: half is left for parking. */
    private static final double GOAL = 0.45;

    /** How much of the time that an answer is of use for went by: the quoted time, or this try if that is shorter. */
    private static double lateness(Held held, long took) {
        return (double) took / Math.min(held.access.product().quotedTime(), held.access.due() - held.arrivedAt);
    }

    /** The cap creeps up while answers are quick and slots are short, and down while they are slow. */
    private void adapt(HostState host, double lateness) {
        host.lateness += (lateness - host.lateness) * LATENESS_SMOOTH;
        if (host.lateness > GOAL) {
            host.cap = Math.max(slotFloor, host.cap - 1 / host.cap);
        } else if (host.out.size() + 1 >= host.cap * NEARLY_FULL) {
            host.cap += 1 / host.cap;
        }
    }

    /** A cap grows only while it binds: at four slots of five or more. */
    private static final double NEARLY_FULL = 0.8;

    /** Weight of one answer in a host's lateness: some ten answers back. */
    private static final double LATENESS_SMOOTH = 0.1;

    private void heardFrom(HostState host, long now) {
        host.lastAnswer = now;
        if (host.health == HostState.Health.STUCK) {
            well(host, now);
        }
    }

    private void well(HostState host, long now) {
        outlet.log(host.id + " is well again");
        if (host.health == HostState.Health.DOWN && now - host.troubledAt > RECHECK) {
            host.warmFrom = now;
        }
        host.health = HostState.Health.WELL;
        host.trialGap = 0;
    }

    /** A host that is down or stuck loses its role and gets nothing but trials. */
    private void trouble(HostState host, HostState.Health health, long now) {
        if (host.health == HostState.Health.DOWN || host.health == health) {
            return;
        }
        outlet.log(host.id + " is " + health);
        host.health = health;
        host.troubledAt = now;
        host.trialGap = RECHECK;
        host.nextTrial = now + host.trialGap;
        probe(host, now);
        if (host.group != null && host.group.primary == host) {
            host.group.primary = null;
            host.primary = false;
        }
        if (health == HostState.Health.STUCK) {
            withdrawLate(host, now);
        }
    }

    /** Calls off what waits for a stuck host and may go elsewhere. */
    private void withdrawLate(HostState host, long now) {
        for (Shot shot : List.copyOf(host.out)) {
            double waited = (now - shot.sentAt) / usual[shot.held.access.product().index()];
            if (!shot.held.over && waited > LONG_AGO
                    && shot.held.access.product().effect() != Effect.IRREVERSIBLE) {
                withdraw(shot.held);
            }
        }
    }

    private void probe(HostState host, long now) {
        if (settings.mayProbe() && !host.probing && host.group != null) {
            host.probing = true;
            host.everProbed = true;
            outlet.probe(host.id);
        }
    }

    @Override
    public void probed(long now, HostId id, boolean answered, LoadReport report) {
        HostState host = hosts.get(id);
        if (host == null) {
            throw new IllegalArgumentException("unknown host: " + id);
        }
        host.probing = false;
        if (host.group == null) {
            return;
        }
        if (!answered) {
            trouble(host, HostState.Health.DOWN, now);
            return;
        }
        if (host.health == HostState.Health.DOWN) {
            well(host, now);
        }
        learnReport(host, report, now);
        serve(host, now);
    }

    // ---- the parked

    /** Hands the free slots of a host directly to the parked that it may serve, first shots before further ones. */
    private void serve(HostState host, long now) {
        if (host.group == null) {
            return;
        }
        for (List<Held> line : List.of(host.group.first, host.group.further)) {
            for (Held held = next(line, host, now); held != null; held = next(line, host, now)) {
                held.chosen = host;
                sending.in(held, now);
            }
        }
    }

    private Held next(List<Held> line, HostState host, long now) {
        Held best = null;
        long bestRank = Long.MAX_VALUE;
        if (line.isEmpty() || !anyFree(host, now)) {
            return null;
        }
        for (Held held : line) {
            long rank = rank(held, now);
            if (rank < bestRank && mayServe(held, host, now)) {
                best = held;
                bestRank = rank;
            }
        }
        return best;
    }

    private boolean anyFree(HostState host, long now) {
        return host.taken(now) < cap(host, now) || onTrial(host, now);
    }

    private boolean mayServe(Held held, HostState host, long now) {
        freshness.in(held, now);
        if (held.access.product().need() == Need.WRITE) {
            return host.group.primary == host && usable(host, now) && free(held, host, now);
        }
        if (isLong(held)) {
            return takesLong(host, now) && usable(host, now) && free(held, host, now);
        }
        int fit = usable(host, now) ? fit(held, host, now) : 3;
        return fit < 3 && free(held, host, now) && (fit == 0 || fit == bestFit(held, now));
    }

    /**
     * The order of the parked: those that can still be answered in time, the most pressing first; then the late, the
     * newest first, so that when not all can be fulfilled slots do not go to those about to run out.
     */
    private long rank(Held held, long now) {
        long quoted = Math.min(held.arrivedAt + held.access.product().quotedTime(), held.access.due());
        boolean late = now + usual[held.access.product().index()] * IN_TIME > quoted;
        return late ? LATE - quoted : quoted;
    }

    /** Usual times that must be left for an access to count as still in time: four in five are answered within. */
    private static final double IN_TIME = 1.6;

    /** Puts the late behind all that are in time, whatever the clock shows. */
    private static final long LATE = Long.MAX_VALUE - 1;

    // ---- time

    private void wake(long at) {
        if (at < asked) {
            asked = at;
            outlet.wake(at);
        }
    }

    @Override
    public void woken(long now) {
        asked = Long.MAX_VALUE;
        while (dues.earliest() <= now) {
            finish(dues.poll(), now);
        }
        if (now >= nextTick) {
            nextTick = now + RECHECK;
            tick(now);
        }
        if (now >= askAgain) {
            askAgain = Long.MAX_VALUE;
            outlet.subscribe();
        }
        wake(Math.min(Math.min(nextTick, askAgain), dues.earliest()));
    }

    /** The periodic work: the health of the hosts, probes, and the parked. */
    private void tick(long now) {
        for (GroupState group : groups.values()) {
            for (HostState host : List.copyOf(group.members)) {
                host.doneRate += (host.doneNow / RECHECK - host.doneRate) * DONE_SMOOTH;
                host.doneNow = 0;
                watch(host, now);
            }
            List<Held> parked = new ArrayList<>(group.first);
            parked.addAll(group.further);
            for (Held held : parked) {
                held.missed.clear();
                if (limits.in(held, now) == Step.END) {
                    finish(held, now);
                } else if (held.access.product().need() == Need.WRITE && group.primary == null) {
                    run(held, now);
                }
            }
            group.members.forEach(host -> serve(host, now));
        }
    }

    /** Weight of one tick in the work done: some two seconds back. */
    private static final double DONE_SMOOTH = 0.05;

    private void watch(HostState host, long now) {
        if (host.health != HostState.Health.WELL) {
            if (host.health == HostState.Health.STUCK) {
                withdrawLate(host, now);
            } else if (now >= host.nextTrial) {
                host.trialGap = Math.min(2 * host.trialGap, LONGEST_GAP);
                host.nextTrial = now + host.trialGap;
                probe(host, now);
            }
        } else if (missedAnswers(host, now) > SURELY_STUCK) {
            trouble(host, HostState.Health.STUCK, now);
        }
        boolean unknownPrimary = host.group.primary == null;
        if (!host.everProbed || host.positionAt < now - bound || unknownPrimary) {
            if (settings.reports()) {
                probe(host, now);
            }
        }
    }

    /** The longest wait between two trials of a host in trouble. */
    private static final long LONGEST_GAP = 1000 * MS;

    /**
     * How many answers a host should have given since its last one, by the usual times of what it holds: a guard
     * against hosts that take shots and answer none, whatever the cause. A host that answers anything is not stuck,
     * and when all grow slower together the usual times grow too.
     */
    private double missedAnswers(HostState host, long now) {
        double missed = 0;
        boolean longAgo = false;
        for (Shot shot : host.out) {
            double usually = usual[shot.held.access.product().index()];
            double waited = (now - Math.max(host.lastAnswer, shot.sentAt)) / usually;
            missed += waited;
            longAgo |= waited > LONG_AGO;
        }
        return longAgo ? missed : 0;
    }

    /** Answers missed beyond which chance is ruled out: about one in a hundred thousand at exponential times. */
    private static final double SURELY_STUCK = 12;

    /** Usual times that at least one shot must have waited, so that a short standstill of a busy host is no verdict. */
    private static final double LONG_AGO = 3;
}
