package rushwood.api;

/**
 * What the decisions are told of crowds: the waits to tell, the budgets to obey. They still choose
 * what they apply to.
 */
public interface Crowd {
  /**
   * The wait to tell the client of an access that is turned back now, 0 for none; {@code crowded}:
   * others wait here.
   */
  long advise(long now, Access access, boolean crowded);

  /**
   * Whether a further shot, after one that cost its host something, keeps within what repeats may
   * cost.
   */
  boolean mayRepeat(long now, GroupId group);

  /** A shot was sent; {@code further}: after one of that access that cost its host something. */
  void sent(long now, GroupId group, boolean further);

  /** Whether a host that is down may be tried although no probe has found it up. */
  boolean mayTry(long now, HostId host);

  /** No figures: the longest wait while others wait, no budgets. */
  static Crowd plain(Settings settings) {
    return new Crowd() {
      @Override
      public long advise(long now, Access access, boolean crowded) {
        return settings.mayAdvise() && crowded ? settings.longestAdvice() : 0;
      }

      @Override
      public boolean mayRepeat(long now, GroupId group) {
        return true;
      }

      @Override
      public void sent(long now, GroupId group, boolean further) {}

      @Override
      public boolean mayTry(long now, HostId host) {
        return true;
      }
    };
  }
}
