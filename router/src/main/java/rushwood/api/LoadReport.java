package rushwood.api;

/** What a host says of itself; a position it does not give is NaN, an unknown role null. */
public record LoadReport(double position, Boolean primary) {
  public static final LoadReport NONE = new LoadReport(Double.NaN, null);
}
