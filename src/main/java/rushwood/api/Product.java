package rushwood.api;

/** The kind an access belongs to. Times in nanoseconds; {@code bound} counts only for a BOUNDED need. */
public record Product(String name, int index, long quotedTime, Effect effect, Scope scope, long window,
        Need need, long bound) {

    public enum Effect { REDOABLE, LABELLED, IRREVERSIBLE }

    /** Within which hosts the label of a labelled access is known. */
    public enum Scope { EVERYWHERE, ZONE, GROUP }

    /** How fresh the data must be that answers it. */
    public enum Need { WRITE, CURRENT, SESSION, BOUNDED, ANY }
}
