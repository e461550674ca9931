package rushwood.api;

import java.util.List;

/**
 * The kind an access belongs to. Times in nanoseconds; {@code bound} counts only for a BOUNDED
 * need. {@code lateEarnings} is the share of its earnings that an answer after the quoted time
 * still has.
 */
public record Product(
    String name,
    int index,
    long quotedTime,
    Effect effect,
    Scope scope,
    long window,
    Need need,
    long bound,
    double lateEarnings) {

  /** The one of that name, or null. */
  public static Product named(List<Product> products, String name) {
    return products.stream().filter(each -> each.name().equals(name)).findFirst().orElse(null);
  }

  public enum Effect {
    REDOABLE,
    LABELLED,
    IRREVERSIBLE
  }

  /** Within which hosts the label of a labelled access is known. */
  public enum Scope {
    EVERYWHERE,
    ZONE,
    GROUP;

    /** Whether a label that one host has seen is known to the other. */
    public boolean joins(ListedHost one, ListedHost other) {
      return this == EVERYWHERE
          || this == GROUP && one.group().equals(other.group())
          || this == ZONE && one.zone().equals(other.zone());
    }
  }

  /** How fresh the data must be that answers it. */
  public enum Need {
    WRITE,
    CURRENT,
    SESSION,
    BOUNDED,
    ANY
  }
}
