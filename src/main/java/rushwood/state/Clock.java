package rushwood.state;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Unix time in nanoseconds that never goes back, read once a turn of the event loop. */
public final class Clock {
    private final LongSupplier source;
    private final Consumer<Runnable> atTurnEnd;
    private long now = Long.MIN_VALUE;
    private boolean read;

    /** With a source of monotonic Unix time, and what runs a task when the turn ends. */
    public Clock(LongSupplier source, Consumer<Runnable> atTurnEnd) {
        this.source = source;
        this.atTurnEnd = atTurnEnd;
    }

    public long now() {
        if (!read) {
            read = true;
            now = Math.max(now, source.getAsLong());
            atTurnEnd.accept(() -> read = false);
        }
        return now;
    }
}
