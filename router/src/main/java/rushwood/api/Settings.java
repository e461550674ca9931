package rushwood.api;

import java.util.List;

/** The settings that the decisions read, decoded once at start. Times in nanoseconds. */
public record Settings(
    int routers,
    List<Product> products,
    boolean askForList,
    Behind behind,
    boolean reports,
    boolean routerRemembersWrites,
    boolean mayProbe,
    boolean mayCancel,
    boolean mayAdvise,
    long longestAdvice,
    int mostShots,
    long resolution,
    boolean goneBinds,
    double coldFrom,
    long coldFor,
    double fallMultiple,
    long fallWindow,
    long askWithin) {

  /** What a host does with a read that it is too far behind for. */
  public enum Behind {
    ANSWERS,
    TURNS_AWAY,
    HOLDS
  }
}
