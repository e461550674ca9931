package rushwood.api;

/** How a shot ended, and whether that end proves that it never ran. */
public enum ShotEnd {
    FULFILLED(false), ERROR(false), OVERFULL(true), EXPIRED(false), UNREACHED(true), BROKEN(false),
    WITHDRAWN(false), UNSENT(true), BEHIND(true);

    private final boolean neverRan;

    ShotEnd(boolean neverRan) {
        this.neverRan = neverRan;
    }

    public boolean neverRan() {
        return neverRan;
    }
}
